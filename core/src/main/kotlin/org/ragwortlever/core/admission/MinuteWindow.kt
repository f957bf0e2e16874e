// Counts a quantity over the last minute in buckets of one second.
package org.ragwortlever.core.admission

import kotlin.time.Instant

/** The amount added over the last 60 seconds. A limit by token bucket would let twice the limit pass within a minute. */
internal class MinuteWindow {
    private val buckets = DoubleArray(WINDOW_SECONDS)
    private var newest = 0L
    private var sum = 0.0

    fun add(
        amount: Double,
        now: Instant,
    ) {
        advance(now)
        buckets[(newest % WINDOW_SECONDS).toInt()] += amount
        sum += amount
    }

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
        for (seconds in 0 until WINDOW_SECONDS) {
            if (left <= bound) return seconds
            left -= buckets[((newest + 1 + seconds) % WINDOW_SECONDS).toInt()]
        }
        return WINDOW_SECONDS
    }

    private fun advance(now: Instant) {
        val second = now.epochSeconds
        if (second <= newest) return
        if (second - newest >= WINDOW_SECONDS) {
            buckets.fill(0.0)
        } else {
            for (past in newest + 1..second) buckets[(past % WINDOW_SECONDS).toInt()] = 0.0
        }
        newest = second
        // Summing again keeps rounding errors from adding up.
        sum = buckets.sum()
    }

    private companion object {
        const val WINDOW_SECONDS = 60
    }
}
