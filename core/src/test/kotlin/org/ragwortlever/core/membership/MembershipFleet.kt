// Nodes that run failure detection among each other over a virtual network in virtual time.
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

    /** Largest number of updates that any message carried. */
    var maximumUpdates = 0

    fun startAll() = nodes.values.forEach { it.start() }

    inner class Node(
        val member: Member,
    ) {
        private var run = 0
        lateinit var membership: Membership
        var isRunning = false
        var isPaused = false

        fun start() {
            val thisRun = ++run
            isRunning = true
            val incarnation = Incarnation(network.now.toEpochMilliseconds(), network.random.nextInt())
            membership = Membership(member.copy(incarnation = incarnation), Random(network.random.nextLong()))
            handle(MembershipEvent.MembersListed(listed))
            network.after(network.random.nextInt(100).milliseconds) { tick(thisRun) }
        }

        fun stop() {
            isRunning = false
            run++
        }

        fun handle(event: MembershipEvent) {
            if (!isRunning) return
            if (isPaused) return network.after(50.milliseconds) { handle(event) }
            membership.handle(event, network.now).filterIsInstance<MembershipEffect.Send>().forEach { send ->
                maximumUpdates = maxOf(maximumUpdates, send.message.updates.size)
                network.send(member.id, send.to.id) { nodes.getValue(send.to.id).handle(MembershipEvent.Received(member.id, send.message)) }
            }
        }

        fun healthOf(id: String): Health? = membership.members.entries.firstOrNull { it.key.id == id }?.value

        private fun tick(ofRun: Int) {
            if (ofRun != run) return
            if (!isPaused) handle(MembershipEvent.Tick)
            network.after(100.milliseconds) { tick(ofRun) }
        }
    }
}
