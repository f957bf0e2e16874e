// Counts what the versions of services under roll-out answer to the requests of one VM.
package org.ragwortlever.core.rollout

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Not thread-safe: owned by the control thread. */
class OutcomeCounter {
    private class Counts(
        val record: RolloutRecord,
    ) {
        val new = HashMap<String, RouteOutcomes>()
        val old = HashMap<String, RouteOutcomes>()
    }

    private val byService = HashMap<String, Counts>()

    /** Whether no service is under roll-out, so that nothing has to be counted. */
    val isIdle: Boolean get() = byService.isEmpty()

    /** Sets the open roll-outs; counts of others are dropped. */
    fun setOpen(records: Collection<RolloutRecord>) {
        byService.keys.retainAll(records.mapTo(HashSet()) { it.service })
        records.forEach { record ->
            if (byService[record.service]?.record?.isSameRollout(record) != true) byService[record.service] = Counts(record)
        }
    }

    /**
     * The answer of a server of [version] began after [time].
     *
     * @param expected the time that it should take; null if the time says nothing of the version.
     */
    fun recordAnswer(
        service: String,
        version: String,
        route: String,
        time: Duration,
        expected: Duration?,
    ) = update(service, version, route) { before ->
        before.withAnswer(expected?.let { time / maxOf(it, 1.milliseconds) })
    }

    /** A server of [version] failed a request; [hasAnswered] if the beginning of its answer was counted. */
    fun recordFailure(
        service: String,
        version: String,
        route: String,
        hasAnswered: Boolean,
    ) = update(service, version, route) { before ->
        val counted = if (hasAnswered) before else before.withAnswer(null)
        counted.copy(failures = counted.failures + 1)
    }

    /** Returns all that was counted for [service]; null if it is not under roll-out. */
    fun evidence(
        service: String,
        runningOnOld: Int,
    ): VersionEvidence? = byService[service]?.let { VersionEvidence(it.new.toMap(), it.old.toMap(), runningOnOld) }

    private fun update(
        service: String,
        version: String,
        route: String,
        change: (RouteOutcomes) -> RouteOutcomes,
    ) {
        val counts = byService[service] ?: return
        val outcomes = if (version == counts.record.version) counts.new else counts.old
        outcomes[route] = change(outcomes[route] ?: RouteOutcomes())
    }
}
