// What the dispatcher knows of the versions of services under roll-out: their shares, and what they answer.
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.backend.ServerFailure
import org.ragwortlever.core.rollout.OutcomeCounter
import org.ragwortlever.core.rollout.VersionEvidence
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Not thread-safe: owned by the dispatcher. */
internal class VersionTraffic(
    private val pool: ServerPool,
) {
    private val outcomes = OutcomeCounter()
    private var newVersions: Map<String, String> = emptyMap()

    fun replace(event: DispatchEvent.RolloutsChanged) {
        pool.versionShares = event.shares
        newVersions = event.open.associate { it.service to it.version }
        outcomes.setOpen(event.open)
    }

    fun recordFirstByte(
        attempt: RunningAttempt,
        now: Instant,
    ) {
        if (outcomes.isIdle) return
        val server = attempt.server.known.server
        val expected = expectedTime(attempt).takeUnless { attempt.server.isCold(attempt.startedAt) }
        outcomes.recordAnswer(server.service, server.version, attempt.request.route.name, now - attempt.startedAt, expected)
    }

    /** Counts what the server itself did; a broken connection may be the fault of a link or of a crash. */
    fun recordFailure(
        attempt: RunningAttempt,
        failure: ServerFailure,
    ) {
        if (outcomes.isIdle || (failure != ServerFailure.ERROR && failure != ServerFailure.SILENT)) return
        val server = attempt.server.known.server
        outcomes.recordFailure(server.service, server.version, attempt.request.route.name, attempt.firstByteAt != null)
    }

    fun evidence(
        service: String,
        running: List<RunningAttempt>,
    ): VersionEvidence? =
        outcomes.evidence(service, running.count { it.server.known.server.version != newVersions[service] })

    /** The time to the first byte that a server without other work would need; only its ratio to others matters. */
    private fun expectedTime(attempt: RunningAttempt): Duration =
        BASE_TIME + (attempt.uncachedTokens / PREFILL_TOKENS_PER_SECOND).seconds

    private companion object {
        val BASE_TIME = 20.milliseconds
    }
}
