/*
 * Bounds the sends to a service beyond the first of each request. The limit holds for all entry VMs together over a
 * sliding window; each takes its equal part of the constant and earns its own part of the proportion.
 */
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.retry.RetryTokenBucket
import org.ragwortlever.core.retry.RetryLimit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * The limit on repeats at one service: in any [window] at most [ratio] x requests + [extra] repeats.
 */
data class ServiceRetryLimit(
    val ratio: Double = 0.2,
    val extra: Double = 50.0,
    val window: Duration = 10.seconds,
)

/** Repeats that this node may send to one service; not thread-safe. */
internal class ServiceRetryBudget(
    limit: ServiceRetryLimit,
    nodes: Int,
) {
    // Half of the part is a burst and the other half refills within a window, so that no window sees more than the whole.
    private val burst = maxOf(1.0, limit.extra / nodes / 2)
    private val balance =
        RetryTokenBucket(RetryLimit(limit.ratio * EARNED_FRACTION, burst / limit.window.toDouble(DurationUnit.SECONDS), burst))

    fun recordRequest(now: Instant) = balance.creditSuccess(now)

    fun tryTake(now: Instant): Boolean = balance.hasRetry(now).also { if (it) balance.takeRetry() }

    private companion object {
        // Requests are counted over the window of the repeat or the one before; a falling rate must not break the limit.
        const val EARNED_FRACTION = 0.7
    }
}
