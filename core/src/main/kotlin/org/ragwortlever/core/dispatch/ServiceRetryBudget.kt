/*
 * Limits the retries at a service: all sends beyond the first of each request. The limit holds for all entry VMs
 * together over a sliding window. Each VM gets an equal share of the constant and earns its own share of the ratio.
 */
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.retry.RetryLimit
import org.ragwortlever.core.retry.RetryTokenBucket
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Limit on the retries at one service: in any [window] at most [ratio] x requests + [extra] retries. */
data class ServiceRetryLimit(
    val ratio: Double = 0.2,
    val extra: Double = 50.0,
    val window: Duration = 10.seconds,
)

/** Retries that this node may send to one service. Not thread-safe. */
internal class ServiceRetryBudget(
    limit: ServiceRetryLimit,
    nodes: Int,
) {
    // Half of the share is the burst and the other half refills within a window, so that no window exceeds the whole
    // share.
    private val burst = maxOf(1.0, limit.extra / nodes / 2)
    private val balance =
        RetryTokenBucket(RetryLimit(limit.ratio * EARNED_FRACTION, burst / limit.window.toDouble(DurationUnit.SECONDS), burst))

    fun recordRequest(now: Instant) = balance.creditSuccess(now)

    fun tryTake(now: Instant): Boolean = balance.hasRetry(now).also { if (it) balance.takeRetry() }

    private companion object {
        // Requests are counted over the window of the retry or the one before, so a falling rate must not exceed the
        // limit.
        const val EARNED_FRACTION = 0.7
    }
}
