// Takes slow and failing servers out on evidence and lets single probes through, whose speed brings them back.
package org.ragwortlever.core.routing

import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal object StragglerCheck {
    /** Updates whether the server is a straggler. Two bounds keep it from alternating between in and out. */
    fun update(
        observation: ServerObservation,
        medianGap: Double,
    ) {
        if (observation.gapSamples < ObservedSpeed.MINIMUM_SAMPLES || medianGap <= 0) return
        val slowness = observation.tokenGap / medianGap
        if (slowness >= OUT_SLOWNESS) observation.straggling = true
        if (slowness <= BACK_SLOWNESS) observation.straggling = false
    }

    /** Whether the server takes no ordinary work now. */
    fun isOut(
        observation: ServerObservation,
        now: Instant,
    ): Boolean {
        if (observation.straggling) return true
        val last = observation.lastFailure ?: return false
        if (observation.failures == 0) return false
        // After the back-off one request shows whether the server is back; the others wait for its first token.
        return observation.running > 0 || now - last < backOff(observation.failures)
    }

    /** Whether a server that is out takes this one request to show its speed. */
    fun mayProbe(
        observation: ServerObservation,
        now: Instant,
    ): Boolean {
        if (!observation.straggling || observation.running > 0) return false
        val last = observation.lastProbe
        return last == null || now - last >= PROBE_INTERVAL
    }

    private fun backOff(failures: Int) = minOf(MAXIMUM_BACK_OFF_SECONDS, 1 shl minOf(failures - 1, MAXIMUM_DOUBLINGS)).seconds

    /** A third of the median speed, as the design page states. */
    private const val OUT_SLOWNESS = 3.0
    private const val BACK_SLOWNESS = 1.5
    private const val MAXIMUM_BACK_OFF_SECONDS = 8
    private const val MAXIMUM_DOUBLINGS = 4
    private val PROBE_INTERVAL = 3.seconds
}
