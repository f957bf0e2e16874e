// The servers that may take requests of a class and a model, resolved once per configuration revision.
package org.ragwortlever.core.routing

import org.ragwortlever.core.configuration.BackendServer
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Made by [Router.candidates]; holds what the scores of each server need. */
class CandidateSet internal constructor(
    internal val ids: Array<String>,
    internal val servers: Array<BackendServer>,
    internal val observations: Array<ServerObservation>,
    /** Zone distance and price, which do not change within a revision. */
    internal val fixedSeconds: DoubleArray,
) {
    private var medianAt: Instant? = null

    /** Median of the observed token gaps, kept up to date by [refresh]. */
    internal var medianGap = 0.0
        private set

    /** Recomputes the median at most twice a second, so that a decision stays linear in the candidates. */
    internal fun refresh(now: Instant) {
        if (medianAt?.let { now - it < MEDIAN_AGE } == true) return
        medianAt = now
        val gaps = observations.filter { it.gapSamples >= ObservedSpeed.MINIMUM_SAMPLES }.map { it.tokenGap }.sorted()
        // The lower median: with two servers, the faster one is the norm.
        medianGap = if (gaps.isEmpty()) 0.0 else gaps[(gaps.size - 1) / 2]
        observations.forEach { observation ->
            observation.fade(medianGap)
            StragglerCheck.update(observation, medianGap)
        }
    }

    private companion object {
        val MEDIAN_AGE = 0.5.seconds
    }
}
