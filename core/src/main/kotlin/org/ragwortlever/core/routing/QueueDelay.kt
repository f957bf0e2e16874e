// Scorer: the time until the server can begin with a new request.
package org.ragwortlever.core.routing

import org.ragwortlever.core.configuration.BackendServer

internal object QueueDelay {
    /**
     * Prefill that is already pending comes first. Above the server's concurrency, a slot frees each
     * [ANSWER_SECONDS] / concurrency; below it, a fuller batch delays the first token a little.
     */
    fun seconds(
        server: BackendServer,
        observation: ServerObservation,
        useReport: Boolean,
    ): Double {
        val load = observation.expectedLoad(useReport)
        val ahead = maxOf(0, load + 1 - server.maxConcurrency)
        val batch = minOf(load, server.maxConcurrency).toDouble() / server.maxConcurrency
        return ahead * ANSWER_SECONDS / server.maxConcurrency + observation.pendingPrefill * PrefillTime.SECONDS_PER_TOKEN +
            batch * FULL_BATCH_SECONDS
    }

    /** Typical time of an answer; only the order of full servers depends on it. */
    private const val ANSWER_SECONDS = 8.0

    /** What a full batch adds to a first token: the decode steps that it interleaves with. */
    private const val FULL_BATCH_SECONDS = 0.15
}
