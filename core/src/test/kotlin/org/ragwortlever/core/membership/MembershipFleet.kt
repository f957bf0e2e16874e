// Nodes that watch each other, in virtual time.
package org.ragwortlever.core.membership

import org.ragwortlever.core.simulation.VirtualNetwork
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

internal class MembershipFleet(
    val network: VirtualNetwork,
    count: Int,
    zones: Int,
    regions: Int,
) {
    val listed: List<Member> = List(count) { Member("n$it", "10.0.0.$it", 8080, 7070, "z${it % zones}", "r${it % zones % regions}") }
    val nodes: Map<String, Node> = listed.associate { it.id to Node(it) }
    var mostUpdates = 0

    fun startAll() = nodes.values.forEach { it.start() }

    inner class Node(
        val seed: Member,
    ) {
        private var run = 0
        lateinit var membership: Membership
        var running = false
        var paused = false

        fun start() {
            val thisRun = ++run
            running = true
            val incarnation = Incarnation(network.now.toEpochMilliseconds(), network.random.nextInt())
            membership = Membership(seed.copy(incarnation = incarnation), Random(network.random.nextLong()))
            handle(MembershipEvent.MembersListed(listed))
            network.after(network.random.nextInt(100).milliseconds) { tick(thisRun) }
        }

        fun stop() {
            running = false
            run++
        }

        fun handle(event: MembershipEvent) {
            if (!running) return
            if (paused) return network.after(50.milliseconds) { handle(event) }
            membership.handle(event, network.now).filterIsInstance<MembershipEffect.Send>().forEach { send ->
                mostUpdates = maxOf(mostUpdates, send.message.updates.size)
                network.send(seed.id, send.to.id) { nodes.getValue(send.to.id).handle(MembershipEvent.Received(seed.id, send.message)) }
            }
        }

        fun healthOf(id: String): Health? = membership.members.entries.firstOrNull { it.key.id == id }?.value

        private fun tick(ofRun: Int) {
            if (ofRun != run) return
            if (!paused) handle(MembershipEvent.Tick)
            network.after(100.milliseconds) { tick(ofRun) }
        }
    }
}
