/*
 * Limits retries in proportion to recent successes, per account and over all accounts, so that failures don't multiply
 * the load.
 */
package org.ragwortlever.core.retry

import kotlin.time.Instant

/**
 * Limit of retries. Over any window of t seconds with s successes, at most
 * `burst + retriesPerSuccess * s + retriesPerSecond * t` retries start.
 *
 * @property retriesPerSuccess retries that each success adds.
 * @property retriesPerSecond retries added per second regardless of successes, so that accounts with little traffic can
 *     retry at all.
 * @property burst maximum number of saved retries; covers the largest account's part of a full batch of 32.
 */
data class RetryLimit(
    val retriesPerSuccess: Double = 0.1,
    val retriesPerSecond: Double = 0.05,
    val burst: Double = 8.0,
)

/** Retry budgets of the accounts, and one over all accounts. Not thread-safe. */
class RetryBudget(
    private val perAccount: RetryLimit = RetryLimit(),
    // A server that crashes has up to a full batch in flight; the overall burst allows the retry of two such batches at once.
    overall: RetryLimit = RetryLimit(retriesPerSecond = 0.5, burst = 32.0),
) {
    private val overallBucket = RetryTokenBucket(overall)
    private val accountBuckets = HashMap<String, RetryTokenBucket>()

    /** Records a complete answer to a request of [account]. */
    fun recordSuccess(
        account: String,
        now: Instant,
    ) {
        overallBucket.creditSuccess(now)
        bucketOf(account).creditSuccess(now)
    }

    /** Takes one retry from both budgets. Returns false and takes nothing if either is used up or the node is [overloaded]. */
    fun tryTake(
        account: String,
        overloaded: Boolean,
        now: Instant,
    ): Boolean {
        if (overloaded) return false
        val bucket = bucketOf(account)
        if (!bucket.hasRetry(now) || !overallBucket.hasRetry(now)) return false
        bucket.takeRetry()
        overallBucket.takeRetry()
        return true
    }

    private fun bucketOf(account: String) = accountBuckets.getOrPut(account) { RetryTokenBucket(perAccount) }
}
