package org.ragwortlever.daemon.role

import org.junit.jupiter.api.Test
import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.fleet.ServiceLoad
import org.ragwortlever.core.lease.HeldLease
import org.ragwortlever.core.rollout.RolloutOrder
import org.ragwortlever.core.rollout.RolloutRecord
import org.ragwortlever.core.rollout.RolloutStage
import org.ragwortlever.core.route.RoutingDocument
import org.ragwortlever.core.route.ScalingRange
import org.ragwortlever.core.route.ServiceDefinition
import org.ragwortlever.core.store.revisionInEpoch
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotEmpty
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class ScalingRoleTest {
    private var now = Instant.fromEpochSeconds(1000)
    private val platform = Platform()
    private var load = emptyMap<String, ServiceLoad>()
    private var rolloutOrders = emptyMap<String, RolloutOrder>()
    private var rollouts = emptyMap<String, RolloutRecord>()
    private var fencing = 1L
    private var role = createRoleOfNewHolder(fencing = 1)

    private fun createRoleOfNewHolder(fencing: Long): ScalingRole {
        this.fencing = fencing
        val lease =
            object : RoleLease {
                override fun now() = this@ScalingRoleTest.now

                override fun held() =
                    HeldLease("duties", 1, this@ScalingRoleTest.fencing, Instant.DISTANT_FUTURE, Instant.DISTANT_PAST)

                override fun isSafeToSend(fencing: Long) = true
            }
        return ScalingRole(lease, { now }, ::fleet, platform::order)
    }

    private fun fleet() =
        FleetState(DOCUMENT, platform.knownServers, load, rolloutOrders = rolloutOrders, rollouts = rollouts)

    private fun runFor(duration: Duration) {
        val end = now + duration
        while (now < end) {
            platform.announce()
            role.step()
            now += STEP
        }
    }

    // Guards against orders computed from a partial list of servers, which stop the unlisted ones: 90 engines once became 15
    // before the first caller.
    @Test
    fun `given servers that become known over seconds, when the duty holder starts, then none of them is stopped`() {
        platform.unannouncedCount = Platform.SERVERS_PER_ZONE * ZONES.size
        runFor(15.seconds)
        expectThat(platform.fewestRunning).isGreaterThanOrEqualTo(Platform.SERVERS_PER_ZONE * ZONES.size)
    }

    // Guards against the same fault at a new holder that has just started and reads a list from which entries have expired.
    @Test
    fun `given a holder that starts after a store outage, when entries return late, then no server is stopped`() {
        runFor(15.seconds)
        platform.unannouncedCount = platform.running - 3
        role = createRoleOfNewHolder(fencing = 2)
        runFor(15.seconds)
        expectThat(platform.fewestRunning).isGreaterThanOrEqualTo(Platform.SERVERS_PER_ZONE * ZONES.size)
    }

    // Guards against a server discovery that never ends: servers that run without need are still paid for.
    @Test
    fun `given a complete server list and a light load, when the load has lasted, then servers are stopped`() {
        runFor(10.seconds)
        load = mapOf(SERVICE to ServiceLoad(prefillSeconds = 0.3, running = 4))
        runFor(40.seconds)
        expectThat(platform.running).isLessThan(Platform.SERVERS_PER_ZONE * ZONES.size / 2)
    }

    // Guards against a server discovery that never ends because servers come and go all the time.
    @Test
    fun `given a fleet that has scaled down, when the load grows, then servers are ordered up to the maximum`() {
        load = mapOf(SERVICE to ServiceLoad(prefillSeconds = 0.3, running = 4))
        runFor(60.seconds)
        load = mapOf(SERVICE to ServiceLoad(prefillSeconds = 20.0, running = 100))
        runFor(3.seconds)
        expectThat(platform.running).isEqualTo(RANGE.maximum * ZONES.size)
    }

    // Guards against orders that only the platform's memory of an earlier token keeps in force.
    @Test
    fun `given a holder whose lease continues in a new epoch, then its orders in force are sent again under the new token`() {
        runFor(10.seconds)
        val inForce = platform.lastOrders.toMap()
        platform.lastOrders.clear()
        fencing = revisionInEpoch(1, 5)
        role.step()
        expectThat(platform.fencings).containsExactly(1, fencing)
        expectThat(platform.lastOrders.toMap()).isEqualTo(inForce)
    }

    // Guards against a service that is never scaled again because its completed roll-out seems to be ordered anew.
    @Test
    fun `given a completed roll-out, when its order comes in a new epoch, then the service is still scaled`() {
        val order = RolloutOrder(SERVICE, "v2", 20.seconds, revisionInEpoch(1, 3))
        rolloutOrders = mapOf(SERVICE to order)
        rollouts = mapOf(SERVICE to RolloutRecord(SERVICE, 7, "v2", RolloutStage.COMPLETED, 1.0, 0, 15_000, 20_000, "vm-1"))
        runFor(10.seconds)
        expectThat(platform.lastOrders.keys).isNotEmpty()
        platform.lastOrders.clear()
        rolloutOrders = mapOf(SERVICE to order.copy(version = "v3"))
        runFor(20.seconds)
        expectThat(platform.lastOrders.keys).isEmpty()
    }

    /** Starts and stops servers as soon as they are ordered; the last [unannouncedCount] are not yet known to the role. */
    private class Platform {
        private val onDemand = ZONES.associateWithTo(HashMap()) { SERVERS_PER_ZONE }
        private val spot = ZONES.associateWithTo(HashMap()) { 0 }
        val lastOrders = HashMap<Triple<String, String, Boolean>, Int>()
        val fencings = ArrayList<Long>()
        var unannouncedCount = 0
        var fewestRunning = SERVERS_PER_ZONE * ZONES.size
            private set

        val running: Int get() = onDemand.values.sum() + spot.values.sum()

        val knownServers: List<BackendServer>
            get() = ZONES.flatMap { zone -> servers(zone, false, onDemand) + servers(zone, true, spot) }.dropLast(unannouncedCount)

        fun announce() {
            unannouncedCount = maxOf(0, unannouncedCount - ANNOUNCED_PER_STEP)
        }

        fun order(
            order: CapacityOrder,
            fencing: Long,
        ): SendOutcome {
            lastOrders[Triple(order.service, order.zone, order.isSpot)] = order.count
            if (fencings.lastOrNull() != fencing) fencings += fencing
            (if (order.isSpot) spot else onDemand)[order.zone] = order.count
            fewestRunning = minOf(fewestRunning, running)
            return SendOutcome.Answered(200, "")
        }

        private fun servers(
            zone: String,
            isSpot: Boolean,
            counts: Map<String, Int>,
        ) = List(counts.getValue(zone)) {
            BackendServer("$zone-$isSpot-$it", 1, SERVICE, "10.0.0.1:1", zone, 64, false, Duration.ZERO, isSpot, 1)
        }

        companion object {
            const val SERVERS_PER_ZONE = 22
            const val ANNOUNCED_PER_STEP = 10
        }
    }

    private companion object {
        const val SERVICE = "engines"
        val ZONES = listOf("a", "b", "c", "d")
        val STEP = 300.milliseconds
        val RANGE = ScalingRange(1, 32, 4.seconds, spotPrice = 0.22, zonePrices = ZONES.associateWith { 1.0 })
        val DOCUMENT =
            RoutingDocument(1, emptyList(), mapOf(SERVICE to ServiceDefinition(SERVICE, 100, 8.0, scaling = RANGE)), emptyList())
    }
}
