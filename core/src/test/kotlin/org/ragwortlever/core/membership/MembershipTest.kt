package org.ragwortlever.core.membership

import org.junit.jupiter.api.Test
import org.ragwortlever.core.simulation.VirtualNetwork
import org.ragwortlever.core.simulation.VirtualNetwork.Companion.forEachSeed
import strikt.api.expectThat
import strikt.assertions.doesNotContain
import strikt.assertions.first
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEmpty
import strikt.assertions.isNotEqualTo
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class MembershipTest {
    // Guards against member lists that stay wrong after message loss, partitions, pauses and restarts.
    @Test
    fun `given random failures, when they have ended, then every node sees exactly the running nodes as healthy`() =
        forEachSeed(1000) { seed ->
            val fleet = startFleet(seed, count = 9, zones = 3, regions = 1 + seed % 2)
            repeat(15) {
                injectFailure(fleet)
                fleet.network.runFor(fleet.network.random.nextInt(200, 5000).milliseconds)
            }
            heal(fleet)
            fleet.network.runFor(60.seconds)
            val running = fleet.nodes.values.filter { it.isRunning }
            val incarnations = running.associate { it.member.id to it.membership.self.incarnation }
            running.forEach { node ->
                val healthy = node.membership.members.filterValues { it == Health.HEALTHY }.keys.associate { it.id to it.incarnation }
                expectThat(healthy).describedAs("healthy for ${node.member.id}").isEqualTo(incarnations - node.member.id)
            }
        }

    // Guards against slow detection, which directs callers to a dead entry VM: the target is about 3 s.
    @Test
    fun `given 8 or 380 nodes, when one dies, then half of the others have detected it after 3 s and all after 10 s`() {
        listOf(8 to 3, 380 to 8).forEach { (count, zones) ->
            val delays = ArrayList<Duration>()
            repeat(if (count == 8) 100 else 2) { seed ->
                val fleet = startFleet(seed, count, zones, regions = 1)
                fleet.nodes.getValue("n1").stop()
                val unaware = (fleet.nodes.keys - "n1").toMutableSet()
                val start = fleet.network.now
                while (unaware.isNotEmpty() && fleet.network.now - start < 20.seconds) {
                    fleet.network.runFor(100.milliseconds)
                    val aware = unaware.filter { fleet.nodes.getValue(it).healthOf("n1") != Health.HEALTHY }
                    unaware.removeAll(aware.toSet())
                    repeat(aware.size) { delays += fleet.network.now - start }
                }
                repeat(unaware.size) { delays += 20.seconds }
            }
            delays.sort()
            println("$count nodes: noticed after ${delays[delays.size / 2]} (median), ${delays.last()} (slowest of ${delays.size})")
            expectThat(delays[delays.size / 2]).isLessThanOrEqualTo(3.seconds)
            expectThat(delays.last()).isLessThanOrEqualTo(10.seconds)
        }
    }

    // Guards against marking a member dead because one path to it is broken in one direction.
    @Test
    fun `given a one-way partition between two nodes, when 2 minutes pass, then no node marks a member dead`() =
        forEachSeed(100) { seed ->
            val fleet = startFleet(seed, count = 8, zones = 3, regions = 1)
            fleet.network.isCut = { from, to -> from == "n0" && to == "n1" }
            repeat(120) {
                fleet.network.runFor(1.seconds)
                fleet.nodes.values.forEach { node -> expectThat(node.membership.members.values).doesNotContain(Health.DEAD) }
            }
        }

    // Guards against marking a partitioned region dead, which floods the other region with updates when the partition heals.
    @Test
    fun `given a region partition of 5 minutes, when it ends, then no member was marked dead and the message rate stays bounded`() {
        val fleet = startFleet(seed = 7, count = 100, zones = 8, regions = 2)
        val usual = messagesPerNodeAndSecond(fleet, 30)
        val region = fleet.listed.associate { it.id to it.region }
        fleet.network.isCut = { from, to -> region[from] != region[to] }
        repeat(30) {
            fleet.network.runFor(10.seconds)
            fleet.nodes.values.forEach { expectThat(it.membership.members.values).doesNotContain(Health.DEAD) }
        }
        val foreign = fleet.nodes.getValue("n0").membership.members.filterKeys { it.region == "r1" }
        expectThat(foreign.values.toSet()).isEqualTo(setOf(Health.REGION_UNREACHABLE))
        heal(fleet)
        val onReturn = messagesPerNodeAndSecond(fleet, 30)
        println("messages per node and second: $usual before the partition, $onReturn after it")
        expectThat(onReturn).isLessThanOrEqualTo(5.0)
        fleet.nodes.values.forEach { expectThat(it.membership.members.values.toSet()).isEqualTo(setOf(Health.HEALTHY)) }
    }

    // Guards against a message rate that grows with the fleet or with mass failures: the target is about 4 messages a second.
    @Test
    fun `given 8, 100 or 380 nodes, when a zone dies, then a node sends at most 5 messages a second of 5 updates`() {
        listOf(8, 100, 380).forEach { count ->
            val fleet = startFleet(seed = count, count, zones = 8, regions = 2)
            val usual = messagesPerNodeAndSecond(fleet, 20)
            fleet.nodes.values.filter { it.member.zone == "z3" }.forEach { it.stop() }
            val afterwards = messagesPerNodeAndSecond(fleet, 30)
            println(
                "$count nodes: $usual messages per node and second, $afterwards after a zone died, ${fleet.maximumUpdates} updates at most",
            )
            expectThat(usual).isLessThanOrEqualTo(4.0)
            expectThat(afterwards).isLessThanOrEqualTo(5.0)
            expectThat(fleet.maximumUpdates).isLessThanOrEqualTo(5)
        }
    }

    // Guards against directing callers to an entry VM that has announced that it stops.
    @Test
    fun `given 380 nodes, when one announces that it leaves, then after 5 s no node lists it for callers`() {
        val fleet = startFleet(seed = 8, count = 380, zones = 8, regions = 2)
        fleet.nodes.getValue("n1").handle(MembershipEvent.LeaveRequested)
        fleet.network.runFor(5.seconds)
        fleet.nodes.values.forEach { node ->
            expectThat(node.membership.entryVms("caller").map { it.id }).doesNotContain("n1")
        }
    }

    // Guards against a restarted node whose records are rejected as old because its wall clock was set back.
    @Test
    fun `given a node whose clock was set back, when it receives a record of its earlier run, then it takes a newer incarnation`() {
        val self = Member("n0", "10.0.0.1", 8080, 7070, "z0", "r0", Incarnation(100))
        val membership = Membership(self, Random(1))
        val earlier = self.copy(incarnation = Incarnation(200), state = MemberState.DEAD)
        val sender = Member("n1", "10.0.0.2", 8080, 7070, "z0", "r0", Incarnation(150))
        membership.handle(MembershipEvent.Received("n1", MembershipMessage.Ping(1, listOf(sender, earlier))), VirtualNetwork.START)
        expectThat(membership.self.replaces(earlier)).isEqualTo(true)
    }

    // Guards against an empty list, a dead entry VM in the first place, or an order that differs between requests.
    @Test
    fun `given the platform is down, when a caller asks, then the node lists itself, and healthy nodes of its zone first`() {
        val alone = Membership(Member("n0", "10.0.0.1", 8080, 7070, "z0", "r0", Incarnation(1)), Random(1))
        expectThat(alone.entryVms("caller").map { it.id }).isEqualTo(listOf("n0"))
        val fleet = startFleet(seed = 9, count = 9, zones = 3, regions = 1)
        fleet.nodes.getValue("n3").stop()
        fleet.network.runFor(20.seconds)
        val node = fleet.nodes.getValue("n0").membership
        val order = node.entryVms("caller")
        expectThat(order.map { it.id }).doesNotContain("n3")
        expectThat(order.take(2).map { it.zone }.toSet()).isEqualTo(setOf("z0"))
        expectThat(node.entryVms("caller")).isEqualTo(order)
        expectThat((1..50).map { node.entryVms("caller $it").first().id }.toSet()).isEqualTo(setOf("n0", "n6"))
        expectThat(order).isNotEmpty().first().get { state }.isNotEqualTo(MemberState.DEAD)
    }

    private fun startFleet(
        seed: Int,
        count: Int,
        zones: Int,
        regions: Int,
    ): MembershipFleet {
        val fleet = MembershipFleet(VirtualNetwork(Random(seed)), count, zones, regions)
        fleet.startAll()
        fleet.network.runFor(30.seconds)
        return fleet
    }

    private fun messagesPerNodeAndSecond(
        fleet: MembershipFleet,
        seconds: Int,
    ): Double {
        val before = fleet.network.sent
        fleet.network.runFor(seconds.seconds)
        return (fleet.network.sent - before).toDouble() / seconds / fleet.nodes.values.count { it.isRunning }
    }

    private fun injectFailure(fleet: MembershipFleet) {
        val random = fleet.network.random
        val node = fleet.nodes.values.random(random)
        val region = fleet.listed.associate { it.id to it.region }
        when (random.nextInt(7)) {
            0 -> fleet.network.loss = random.nextDouble(0.0, 0.4)
            1 -> fleet.network.isCut = { from, _ -> from == node.member.id }
            2 -> fleet.network.isCut = { _, to -> to == node.member.id }
            3 -> fleet.network.isCut = { from, to -> region[from] != region[to] }
            4 -> if (node.isRunning) node.stop() else node.start()
            5 -> node.isPaused = !node.isPaused
            6 -> heal(fleet)
        }
    }

    private fun heal(fleet: MembershipFleet) {
        fleet.network.loss = 0.0
        fleet.network.isCut = { _, _ -> false }
        fleet.nodes.values.forEach { it.isPaused = false }
    }
}
