// Exponentially decayed rate of a quantity over time.
package org.ragwortlever.core.admission

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Rate per second of the added amounts, which decay exponentially with the time constant [window]. */
internal class DecayedRate(
    window: Duration,
) {
    private val windowSeconds = window.toDouble(DurationUnit.SECONDS)
    private var sum = 0.0
    private var firstAddedAt: Instant? = null
    private var lastAddedAt: Instant? = null

    /** Adds [amount] at the time [now]. */
    fun add(
        amount: Double,
        now: Instant,
    ) {
        if (firstAddedAt == null) firstAddedAt = now
        sum = decayed(now) + amount
        lastAddedAt = now
    }

    /** Rate per second at the time [now]. */
    fun perSecond(now: Instant): Double = decayed(now) / windowSeconds

    /** Rate per second without the time before the first amount; noisier than [perSecond] at the start. */
    fun perSecondSinceFirst(now: Instant): Double {
        val age = (now - (firstAddedAt ?: return 0.0)).toDouble(DurationUnit.SECONDS)
        return decayed(now) / (windowSeconds * (1 - exp(-maxOf(age, MINIMUM_AGE_SECONDS) / windowSeconds)))
    }

    private fun decayed(now: Instant): Double {
        val last = lastAddedAt ?: return 0.0
        val age = (now - last).toDouble(DurationUnit.SECONDS)
        return if (age <= 0) sum else sum * exp(-age / windowSeconds)
    }

    private companion object {
        // Over a shorter time the rate would follow single requests.
        const val MINIMUM_AGE_SECONDS = 2.0
    }
}
