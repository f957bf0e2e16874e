// Token bucket of retries, refilled by successes and by time.
package org.ragwortlever.core.retry

import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Token bucket of retries with the rates of [limit]; it starts full. Not thread-safe. */
internal class RetryTokenBucket(
    private val limit: RetryLimit,
) {
    private var available = limit.burst
    private var lastRefill: Instant? = null

    /** Adds the retries that one success earns, up to the burst. */
    fun creditSuccess(now: Instant) {
        refill(now)
        available = minOf(limit.burst, available + limit.retriesPerSuccess)
    }

    /** Whether at least one whole retry is available. */
    fun hasRetry(now: Instant): Boolean {
        refill(now)
        return available >= 1
    }

    /** Takes one retry; the caller has checked [hasRetry]. */
    fun takeRetry() {
        available -= 1
    }

    private fun refill(now: Instant) {
        val elapsed = lastRefill?.let { (now - it).toDouble(DurationUnit.SECONDS) } ?: 0.0
        // If the clock goes back, nothing is refilled and the time of the last refill stays.
        if (elapsed < 0) return
        available = minOf(limit.burst, available + elapsed * limit.retriesPerSecond)
        lastRefill = now
    }
}
