// An exponentially decayed rate of a quantity over time.
package org.ragwortlever.core.admission

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** The rate per second of what is added, weighted by age with the time constant [window]. */
internal class DecayedRate(
    window: Duration,
) {
    private val windowSeconds = window.toDouble(DurationUnit.SECONDS)
    private var sum = 0.0
    private var firstAddedAt: Instant? = null
    private var lastAddedAt: Instant? = null

    fun add(
        amount: Double,
        now: Instant,
    ) {
        if (firstAddedAt == null) firstAddedAt = now
        sum = decayed(now) + amount
        lastAddedAt = now
    }

    fun perSecond(now: Instant): Double = decayed(now) / windowSeconds

    /** The rate as if the time before the first amount did not count; noisier than [perSecond] at the start. */
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
        // A rate over less than this would follow single requests.
        const val MINIMUM_AGE_SECONDS = 2.0
    }
}
