// What this entry VM has seen of one backend server.
package org.ragwortlever.core.routing

import kotlin.time.DurationUnit
import kotlin.time.Instant

internal class ServerObservation {
    /** Attempts of this entry VM on the server. */
    var running = 0
        private set

    /** Prompt tokens that our attempts without a first token still have to prefill. */
    var pendingPrefill = 0
        private set

    /** Seconds between tokens, as a decayed mean; zero before the first sample. */
    var tokenGap = 0.0
        private set
    var gapSamples = 0
        private set
    var failures = 0
        private set
    var lastFailure: Instant? = null
        private set
    var lastProbe: Instant? = null

    /** Whether the server is out because of its speed. */
    var straggling = false

    private var sampledSinceFade = false
    private var reported = 0
    private var changeSinceReport = 0

    /** Requests expected on the server: the last report, corrected by our own changes since; never below our own. */
    fun expectedLoad(useReport: Boolean): Int = if (useReport) maxOf(running, reported + changeSinceReport) else running

    fun reported(load: Int) {
        reported = load
        changeSinceReport = 0
    }

    fun dispatched(prefillTokens: Int) {
        running++
        changeSinceReport++
        pendingPrefill += prefillTokens
    }

    fun prefillEnded(prefillTokens: Int) {
        pendingPrefill = maxOf(0, pendingPrefill - prefillTokens)
    }

    /** The server has answered, which ends a back-off. */
    fun answered() {
        failures = 0
    }

    fun progress(gapSeconds: Double) {
        val weight = if (straggling) PROBE_WEIGHT else GAP_WEIGHT
        tokenGap = if (gapSamples == 0) gapSeconds else tokenGap + weight * (gapSeconds - tokenGap)
        gapSamples++
        sampledSinceFade = true
    }

    /** Old evidence loses weight: a server that gets no work for its slowness would never show that it has ended. */
    fun fade(medianGap: Double) {
        if (!sampledSinceFade && !straggling && gapSamples > 0) tokenGap += FADE_WEIGHT * (medianGap - tokenGap)
        sampledSinceFade = false
    }

    fun ended() {
        running--
        changeSinceReport--
    }

    fun failed(now: Instant) {
        // The attempts of one crash fail together and count once.
        val last = lastFailure
        if (last == null || (now - last).toDouble(DurationUnit.SECONDS) > SAME_FAILURE_SECONDS) failures++
        lastFailure = now
    }

    private companion object {
        /** With chunks of about a second, 0.2 follows a change of speed in 5 chunks and ignores a single slow one. */
        const val GAP_WEIGHT = 0.2

        /** The few samples of probes must outweigh those that took the server out. */
        const val PROBE_WEIGHT = 0.5

        /** Per half second: evidence halves in about 7 s without new samples. */
        const val FADE_WEIGHT = 0.05
        const val SAME_FAILURE_SECONDS = 0.1
    }
}
