// One bucket of retries that successes and time fill.
package org.ragwortlever.core.retry

import kotlin.time.DurationUnit
import kotlin.time.Instant

internal class RetryTokenBucket(
    private val limit: RetryLimit,
) {
    private var available = limit.burst
    private var lastRefill: Instant? = null

    fun creditSuccess(now: Instant) {
        refill(now)
        available = minOf(limit.burst, available + limit.retriesPerSuccess)
    }

    /** Whether a whole retry is there. */
    fun hasRetry(now: Instant): Boolean {
        refill(now)
        return available >= 1
    }

    fun takeRetry() {
        available -= 1
    }

    private fun refill(now: Instant) {
        val elapsed = lastRefill?.let { (now - it).toDouble(DurationUnit.SECONDS) } ?: 0.0
        // A time before the last one earns nothing and does not move the refill back.
        if (elapsed < 0) return
        available = minOf(limit.burst, available + elapsed * limit.retriesPerSecond)
        lastRefill = now
    }
}
