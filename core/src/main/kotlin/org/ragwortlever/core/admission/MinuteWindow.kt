// Sliding window of one minute over a quantity, in buckets of one second.
package org.ragwortlever.core.admission

import kotlin.time.Instant

/** Sums the amounts of the last 60 seconds. A token bucket would allow twice the limit within one minute. */
internal class MinuteWindow {
    private val buckets = DoubleArray(SECONDS)
    private var newest = 0L
    private var sum = 0.0

    /** Adds [amount] at the time [now]. */
    fun add(
        amount: Double,
        now: Instant,
    ) {
        advance(now)
        buckets[(newest % SECONDS).toInt()] += amount
        sum += amount
    }

    /** Amount added within the 60 seconds before [now]. */
    fun total(now: Instant): Double {
        advance(now)
        return sum
    }

    /** Whole seconds until the total has fallen to [bound] or below, if nothing is added. */
    fun secondsUntilAtMost(
        bound: Double,
        now: Instant,
    ): Int {
        advance(now)
        var left = sum
        for (seconds in 0 until SECONDS) {
            if (left <= bound) return seconds
            left -= buckets[((newest + 1 + seconds) % SECONDS).toInt()]
        }
        return SECONDS
    }

    private fun advance(now: Instant) {
        val second = now.epochSeconds
        if (second <= newest) return
        if (second - newest >= SECONDS) buckets.fill(0.0) else for (past in newest + 1..second) buckets[(past % SECONDS).toInt()] = 0.0
        newest = second
        // Recomputed so that rounding errors don't accumulate.
        sum = buckets.sum()
    }

    private companion object {
        const val SECONDS = 60
    }
}
