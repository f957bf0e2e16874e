/*
 * Concurrency limit of a backend server with slow start. The limit of a fresh server starts low and grows by one with
 * each full round of requests within target. A server whose first tokens are late without more load has turned cold,
 * and its slow start begins again.
 */
package org.ragwortlever.core.capacity

import org.ragwortlever.core.configuration.BackendServer

/**
 * Concurrency limit of one server. Not thread-safe.
 *
 * @property ramp whether slow start applies; if false, the limit is always the maximum.
 * @property detectCold whether late first tokens restart the slow start.
 */
internal class ConcurrencyLimit(
    private val ramp: Boolean,
    private val detectCold: Boolean,
) {
    private var slowStartIncrease = 0
    private var completedOnTarget = 0
    private var consecutiveSlow = 0
    private val baseline = FirstTokenBaseline()

    /** Current limit of [server] in concurrent requests. */
    fun current(
        server: BackendServer,
    ): Int = if (ramp) minOf(server.freshConcurrency + slowStartIncrease, server.maxConcurrency) else server.maxConcurrency

    /** Begins the slow start again, since the server has restarted or turned cold. */
    fun restartSlowStart() {
        slowStartIncrease = 0
        completedOnTarget = 0
        consecutiveSlow = 0
    }

    /** Counts a completed request. A round is as many requests as the limit allows at once. */
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

    /** Raises the limit to the [running] requests of a load report if none waits in the engine: the server can bear them. */
    fun observeLoad(
        server: BackendServer,
        running: Int,
        waiting: Int,
    ) {
        if (waiting > 0 || running <= current(server)) return
        slowStartIncrease = minOf(running, server.maxConcurrency) - server.freshConcurrency
    }

    /** Records a time to first token. Returns true if the server has turned cold and its slow start begins again. */
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
        // If the server stays slow, the baseline adapts.
        baseline.learn(observation)
        return true
    }

    private companion object {
        // A single late first token has many causes; three in a row without more load mean a cold server.
        const val SLOW_FIRST_TOKENS_WHEN_COLD = 3
    }
}

/**
 * Time to first token of an attempt, with the load at its start.
 *
 * @property seconds time to first token in seconds.
 * @property running attempts on the server when the attempt started, this one included.
 * @property reportedWaiting requests that wait in the engine according to its last load report.
 */
internal data class FirstTokenObservation(
    val seconds: Double,
    val promptTokens: Int,
    val running: Int,
    val reportedWaiting: Int,
)

/** Baseline of a server: decayed means over the observations that weren't too slow. */
private class FirstTokenBaseline {
    private var count = 0
    private var seconds = 0.0
    private var promptTokens = 0.0
    private var running = 0.0

    fun isTooSlow(observation: FirstTokenObservation): Boolean = count >= MIN_OBSERVATIONS && observation.seconds > COLD_FACTOR * seconds

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

        // Fewer observations give no usable baseline.
        const val MIN_OBSERVATIONS = 5
    }
}
