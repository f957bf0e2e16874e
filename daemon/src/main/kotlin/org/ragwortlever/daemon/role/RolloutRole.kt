// Decides on the roll-outs that the operators have ordered, while this node holds the lease of the fleet's duties.
package org.ragwortlever.daemon.role

import io.github.oshai.kotlinlogging.KotlinLogging
import org.ragwortlever.core.lease.HeldLease
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.core.rollout.EvidenceCollection
import org.ragwortlever.core.rollout.EvidenceReply
import org.ragwortlever.core.rollout.EvidenceReport
import org.ragwortlever.core.rollout.RolloutOrder
import org.ragwortlever.core.rollout.RolloutPolicy
import org.ragwortlever.core.rollout.RolloutRecord
import org.ragwortlever.core.rollout.RolloutStage
import org.ragwortlever.core.rollout.RolloutState
import org.ragwortlever.core.rollout.VersionEvidence
import org.ragwortlever.core.rollout.VersionTest
import org.ragwortlever.core.store.epochOf
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * @param leaseClock time of the lease, which includes the time in which the process was suspended.
 * @param now wall-clock time, which the records hold.
 */
internal class RolloutRole(
    node: String,
    private val store: RolloutStore,
    private val lease: RoleLease,
    private val leaseClock: () -> Instant,
    private val now: () -> Instant,
    private val fleet: () -> FleetState,
) : AutoCloseable {
    private val thread = RoleThread("rollout", STEP_PAUSE, ::step)
    private val policy = RolloutPolicy(node)
    private val evidence = EvidenceCollection()
    private val tests = HashMap<Long, VersionTest>()
    private val decided = ConcurrentHashMap<String, RolloutRecord>()

    fun start() = thread.start()

    override fun close() = thread.close()

    /** Takes the report of a VM and returns the last decision on its roll-out. */
    fun receive(report: EvidenceReport): EvidenceReply {
        synchronized(evidence) { evidence.add(report) }
        // A VM that has not read the record of a new epoch of the store still reports for the order's revision before.
        return EvidenceReply(decided[report.service]?.takeIf { it.order == report.order || epochOf(report.order) < epochOf(it.order) })
    }

    internal fun step(): Boolean {
        val held = lease.held()?.takeIf { it.isInCharge(leaseClock()) } ?: return false.also { decided.clear() }
        val state = fleet()
        val orders = state.rolloutOrders.values
        synchronized(evidence) { evidence.retainOnly(orders.mapTo(HashSet()) { it.revision }) }
        tests.keys.retainAll(orders.mapTo(HashSet()) { it.revision })
        orders.forEach { carryOut(it, state, held) }
        state.rollouts.values
            .filter { it.service !in state.rolloutOrders }
            .forEach { end(it, state, held) }
        return false
    }

    private fun carryOut(
        order: RolloutOrder,
        state: FleetState,
        held: HeldLease,
    ) {
        val known = state.rollouts[order.service]
        if (known?.order == order.revision && !known.isOpen) return
        val total = synchronized(evidence) { evidence.total(order.revision, state.nodes) }
        val next = policy.next(state.toRollout(order, known, total), now())
        decided[order.service] = next
        if (next == known) return
        val stored = store.read(order.service) ?: return
        // The view of the fleet may be older than the store, where this or another VM has written meanwhile, or newer if the
        // store has come back from an older copy.
        val latest = listOfNotNull(stored.record, known).reduceOrNull { first, second -> if (second.isAfter(first)) second else first }
        val current = if (latest == known) next else policy.next(state.toRollout(order, latest, total), now())
        if (current == stored.record) return
        val isWritten = store.write(current, stored, held)
        log(current, total, isWritten)
    }

    private fun FleetState.toRollout(
        order: RolloutOrder,
        record: RolloutRecord?,
        total: VersionEvidence,
    ): RolloutState {
        val (new, old) = servers.filter { it.service == order.service && !it.isDraining }.partition { it.version == order.version }
        val verdict = tests.getOrPut(order.revision) { VersionTest() }.judge(total)
        val silent = synchronized(evidence) { nodes - evidence.reporters(order.revision) }
        return RolloutState(order, record, verdict, total, new.size, old.size, silent.size)
    }

    /** Ends a roll-out whose order was taken back, and forgets one that has ended and whose servers are gone. */
    private fun end(
        record: RolloutRecord,
        state: FleetState,
        held: HeldLease,
    ) {
        val since = Instant.fromEpochMilliseconds(record.stageSinceMilliseconds)
        val hasServers = state.servers.any { it.service == record.service && it.version == record.version }
        val isInUse = record.stage != RolloutStage.COMPLETED && hasServers
        if (!record.isOpen && (isInUse || now() - since < RETENTION)) return
        val stored = store.read(record.service)?.takeIf { it.record == record } ?: return
        if (!record.isOpen) {
            store.remove(record.service, stored, held)
            return
        }
        val ended =
            record.copy(
                stage = RolloutStage.ROLLED_BACK,
                share = 0.0,
                stageSinceMilliseconds = now().toEpochMilliseconds(),
                reason = "the order was taken back",
            )
        log(ended, VersionEvidence(), store.write(ended, stored, held))
    }

    private fun log(
        record: RolloutRecord,
        total: VersionEvidence,
        isWritten: Boolean,
    ) = logger.info {
        eventLine(
            "rollout-decided",
            "service" to record.service,
            "version" to record.version,
            "stage" to record.stage,
            "share" to record.share,
            "reason" to record.reason,
            "answers" to total.newAnswers,
            "on-old" to total.runningOnOld,
            "written" to isWritten,
        )
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        val STEP_PAUSE = 300.milliseconds

        // Longer than any VM needs to follow the store again after an outage.
        val RETENTION = 60.seconds
    }
}
