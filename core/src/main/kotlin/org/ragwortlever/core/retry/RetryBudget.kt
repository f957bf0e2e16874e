/*
 * Bounds retries by recent successes, for each account and for all accounts together, so that failures never
 * multiply the load.
 */
package org.ragwortlever.core.retry

import kotlin.time.Instant

/**
 * How retries are bounded. Over any window of t seconds with s successes, at most
 * `burst + retriesPerSuccess * s + retriesPerSecond * t` retries start.
 *
 * @property retriesPerSuccess retries earned by a success.
 * @property retriesPerSecond retries earned by time alone, so that an account with little traffic can retry at all.
 * @property burst the most that can be saved up; the largest account's part of a full batch of 32 fits.
 */
data class RetryLimit(
    val retriesPerSuccess: Double = 0.1,
    val retriesPerSecond: Double = 0.05,
    val burst: Double = 8.0,
)

/** The budgets of all accounts and the one over them; not thread-safe. */
class RetryBudget(
    private val perAccount: RetryLimit = RetryLimit(),
    // A crashed server has up to a full batch in flight; the overall burst lets two such batches move at once.
    overall: RetryLimit = RetryLimit(retriesPerSecond = 0.5, burst = 32.0),
) {
    private val overallBucket = RetryTokenBucket(overall)
    private val accountBuckets = HashMap<String, RetryTokenBucket>()

    /** A request of [account] was answered completely. */
    fun recordSuccess(
        account: String,
        now: Instant,
    ) {
        overallBucket.creditSuccess(now)
        bucketOf(account).creditSuccess(now)
    }

    /** Takes one retry from both budgets; false, and nothing is taken, when either is spent or the whole is [overloaded]. */
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
