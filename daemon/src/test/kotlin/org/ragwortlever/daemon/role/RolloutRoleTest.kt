package org.ragwortlever.daemon.role

import com.github.michaelbull.result.get
import org.junit.jupiter.api.Test
import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.fleet.FleetKeys
import org.ragwortlever.core.fleet.FleetRecord
import org.ragwortlever.core.lease.HeldLease
import org.ragwortlever.core.rollout.EvidenceReport
import org.ragwortlever.core.rollout.RolloutOrder
import org.ragwortlever.core.rollout.RolloutRecord
import org.ragwortlever.core.rollout.RolloutStage
import org.ragwortlever.core.rollout.RouteOutcomes
import org.ragwortlever.core.rollout.VersionEvidence
import org.ragwortlever.core.store.Transaction
import org.ragwortlever.core.store.Write
import org.ragwortlever.core.store.revisionInEpoch
import org.ragwortlever.daemon.configuration.MemoryStore
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Plays roll-outs in virtual time against a store in memory; the view of the fleet follows the store. */
class RolloutRoleTest {
    private var now = Instant.fromEpochSeconds(1_700_000_000)
    private val store = MemoryStore()
    private var order: RolloutOrder? = RolloutOrder("service", "v2", 20.seconds, revision = 7)
    private var leaseRevision = 0L
    private var evidence = VersionEvidence()

    /** Record that the fleet's view has; the store may have a newer one. */
    private var view: RolloutRecord? = null

    private inner class Lease(
        private val fencing: Long,
    ) : RoleLease {
        override fun now() = Instant.DISTANT_PAST

        override fun held() = HeldLease(LEASE, 1, fencing, Instant.DISTANT_FUTURE, Instant.DISTANT_PAST)

        override fun isSafeToSend(fencing: Long) = true
    }

    /** A VM that takes the lease over, and so has the only valid fencing token. */
    private fun createHolder(name: String): RolloutRole {
        store.commit(Transaction(emptyList(), listOf(Write.Delete(LEASE))))
        store.commit(Transaction(emptyList(), listOf(Write.Put(LEASE, name))))
        leaseRevision = checkNotNull(store.read(LEASE).get()).entries.single().createRevision
        val lease = Lease(leaseRevision)
        val rollouts = RolloutStore(store, lease) { Write.Put("status", it.stage.name) }
        return RolloutRole(name, rollouts, lease, { now }, { now }, ::fleet)
    }

    private fun fleet(): FleetState {
        val servers = listOf("v1", "v1", "v2", "v2").mapIndexed { index, version ->
            BackendServer("server-$index", 1, "service", "127.0.0.1:${index + 1}", "a", 8, false, Duration.ZERO, false, 1, version)
        }
        val orders = listOfNotNull(order).associateBy { it.service }
        return FleetState(null, servers, emptyMap(), setOf("vm-1"), orders, listOfNotNull(view).associateBy { it.service })
    }

    private val stored: RolloutRecord?
        get() {
            val key = FleetKeys.rollout("service")
            val entry = checkNotNull(store.read(key).get()).entries.firstOrNull() ?: return null
            return (FleetKeys.decode(key, entry.value) as FleetRecord.RolloutDecided).record
        }
    private val status: String? get() = checkNotNull(store.read("status").get()).entries.firstOrNull()?.value

    private fun run(
        role: RolloutRole,
        duration: Duration,
    ) {
        val end = now + duration
        while (now < end) {
            evidence = evidence.copy(old = evidence.old.grown(40, 0), new = evidence.new.grown(3, newFailures))
            role.receive(EvidenceReport("vm-1", 1, "service", view?.order ?: 7, evidence))
            role.step()
            view = stored
            now += STEP
        }
    }

    private var newFailures = 0

    private fun Map<String, RouteOutcomes>.grown(
        answers: Int,
        failures: Int,
    ) = mapOf("route" to (this["route"] ?: RouteOutcomes()) + RouteOutcomes(answers, failures, mapOf(0 to answers)))

    @Test
    fun `given a good version, when its time passes, then the record and the status are completed together`() {
        run(createHolder("vm-1"), 22.seconds)
        expectThat(stored).isNotNull().get { stage }.isEqualTo(RolloutStage.COMPLETED)
        expectThat(status).isEqualTo("COMPLETED")
    }

    @Test
    fun `given a version that fails, when the store is slow to be followed, then the reply to a report tells the roll-back`() {
        val role = createHolder("vm-1")
        run(role, 2.seconds)
        newFailures = 2
        run(role, 4.seconds)
        expectThat(stored).isNotNull().get { stage }.isEqualTo(RolloutStage.ROLLED_BACK)
        val reply = role.receive(EvidenceReport("vm-2", 1, "service", 7, VersionEvidence()))
        expectThat(reply.record).isNotNull().get { stage }.isEqualTo(RolloutStage.ROLLED_BACK)
    }

    @Test
    fun `given a holder that was frozen before its write, when another one has taken over, then the write has no effect`() {
        val frozen = createHolder("vm-1")
        run(frozen, 12.seconds)
        val before = stored
        createHolder("vm-2")
        newFailures = 3
        run(frozen, 3.seconds)
        expectThat(stored).isEqualTo(before)
    }

    @Test
    fun `given a write whose answer is lost, then the next step goes on from what the store has`() {
        val role = createHolder("vm-1")
        store.loseCommitAnswers = true
        run(role, 22.seconds)
        expectThat(stored).isNotNull().get { stage }.isEqualTo(RolloutStage.COMPLETED)
    }

    @Test
    fun `given an order that is taken back halfway, then the roll-out ends, and its record stays while its servers are there`() {
        val role = createHolder("vm-1")
        run(role, 5.seconds)
        order = null
        run(role, 1.seconds)
        expectThat(stored).isNotNull().get { stage }.isEqualTo(RolloutStage.ROLLED_BACK)
        run(role, 70.seconds)
        expectThat(stored).isNotNull()
    }

    @Test
    fun `given a completed roll-out whose order is gone, when time has passed, then its record is removed`() {
        val role = createHolder("vm-1")
        run(role, 22.seconds)
        order = null
        run(role, 70.seconds)
        expectThat(stored).isNull()
    }

    private fun restoreOrder() {
        order = order?.copy(revision = revisionInEpoch(1, 3))
    }

    @Test
    fun `given a roll-out that was rolled back, when the store has been restored, then it stays so and follows its order`() {
        val role = createHolder("vm-1")
        run(role, 2.seconds)
        newFailures = 2
        run(role, 4.seconds)
        val before = checkNotNull(stored)
        restoreOrder()
        run(role, 22.seconds)
        expectThat(before.stage).isEqualTo(RolloutStage.ROLLED_BACK)
        expectThat(stored).isEqualTo(before.copy(order = revisionInEpoch(1, 3)))
    }

    @Test
    fun `given a copy that lacks the record or has an earlier stage, when the holder knows the later one, then it is written again`() {
        val role = createHolder("vm-1")
        run(role, 2.seconds)
        val canary = checkNotNull(stored)
        newFailures = 2
        run(role, 4.seconds)
        val known = stored
        val key = FleetKeys.rollout("service")
        listOf(Write.Delete(key), Write.Put(key, canary.encode())).forEachIndexed { index, copy ->
            val revision = revisionInEpoch(index + 1L, 3)
            order = order?.copy(revision = revision)
            store.commit(Transaction(emptyList(), listOf(copy)))
            view = known
            role.step()
            expectThat(stored).isNotNull().get { stage to this.order }.isEqualTo(RolloutStage.ROLLED_BACK to revision)
        }
    }

    private companion object {
        const val LEASE = "lease"
        val STEP = 300.milliseconds
    }
}
