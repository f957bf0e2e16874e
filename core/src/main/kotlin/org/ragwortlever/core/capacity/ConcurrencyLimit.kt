/*
 * The concurrency limit of a backend server. A fresh server starts low and grows by one with each full round of
 * requests within target; a server whose first tokens come late without more load has turned cold and starts again.
 */
package org.ragwortlever.core.capacity

import org.ragwortlever.core.configuration.BackendServer

/** The limit of one server. With [ramp] false it is always the maximum; with [detectCold] false a cold server keeps it. */
internal class ConcurrencyLimit(
    private val ramp: Boolean,
    private val detectCold: Boolean,
) {
    private var slowStartIncrease = 0
    private var completedOnTarget = 0
    private var consecutiveSlow = 0
    private val baseline = FirstTokenBaseline()

    /** The limit of [server] now. */
    fun current(
        server: BackendServer,
    ): Int = if (ramp) minOf(server.freshConcurrency + slowStartIncrease, server.maxConcurrency) else server.maxConcurrency

    /** The server has been started again or has turned cold. */
    fun restartSlowStart() {
        slowStartIncrease = 0
        completedOnTarget = 0
        consecutiveSlow = 0
    }

    /** Counts an ended request; a round is as many requests as the limit allows at once. */
    fun recordCompletion(
        server: BackendServer,
        isOnTarget: Boolean,
    ) {
        if (!isOnTarget) {
            completedOnTarget = 0
            return
        }
        completedOnTarget++
        val limit = current(server)
        if (completedOnTarget < limit) return
        completedOnTarget = 0
        if (limit < server.maxConcurrency) slowStartIncrease++
    }

    /** Takes a load report into account: what a server runs with nothing waiting is what it bears. */
    fun observeLoad(
        server: BackendServer,
        running: Int,
        waiting: Int,
    ) {
        if (waiting > 0 || running <= current(server)) return
        slowStartIncrease = minOf(running, server.maxConcurrency) - server.freshConcurrency
    }

    /** Takes a first-token time into account; true when it shows that the server has turned cold. */
    fun observeFirstToken(observation: FirstTokenObservation): Boolean {
        if (!baseline.isTooSlow(observation)) {
            consecutiveSlow = 0
            baseline.learn(observation)
            return false
        }
        if (!detectCold || baseline.isExplainedByLoad(observation)) return false
        consecutiveSlow++
        if (consecutiveSlow < SLOW_FIRST_TOKENS_WHEN_COLD) return false
        restartSlowStart()
        // A server that stays slower for good has a new norm after a while.
        baseline.learn(observation)
        return true
    }

    private companion object {
        // A single late first token has many causes; three in a row on a server without more load have one.
        const val SLOW_FIRST_TOKENS_WHEN_COLD = 3
    }
}

/**
 * How long a first token took, and the load under which it came.
 *
 * @property running attempts on the server, its own included, when the attempt started.
 * @property reportedWaiting requests that waited in the engine by its last load report.
 */
internal data class FirstTokenObservation(
    val seconds: Double,
    val promptTokens: Int,
    val running: Int,
    val reportedWaiting: Int,
)

/** What is normal for a server: decayed means over the observations that were not too slow. */
private class FirstTokenBaseline {
    private var count = 0
    private var seconds = 0.0
    private var promptTokens = 0.0
    private var running = 0.0

    fun isTooSlow(observation: FirstTokenObservation): Boolean = count >= MINIMUM_OBSERVATIONS && observation.seconds > COLD_FACTOR * seconds

    fun isExplainedByLoad(observation: FirstTokenObservation): Boolean =
        observation.reportedWaiting > 0 ||
            observation.running > LOAD_FACTOR * running + 1 ||
            observation.promptTokens > LOAD_FACTOR * promptTokens

    fun learn(observation: FirstTokenObservation) {
        count++
        val part = maxOf(1.0 / count, DECAY)
        seconds += (observation.seconds - seconds) * part
        promptTokens += (observation.promptTokens - promptTokens) * part
        running += (observation.running - running) * part
    }

    private companion object {
        const val COLD_FACTOR = 3.0
        const val LOAD_FACTOR = 1.5
        const val DECAY = 0.05

        // Fewer observations give no norm to compare with.
        const val MINIMUM_OBSERVATIONS = 5
    }
}
