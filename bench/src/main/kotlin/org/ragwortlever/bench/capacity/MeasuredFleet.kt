// Nodes as objects in one process: failure detection and distribution of the configuration with really encoded messages.
package org.ragwortlever.bench.capacity

import org.ragwortlever.bench.simulation.EventQueue
import org.ragwortlever.core.distribution.ConfigurationDistributor
import org.ragwortlever.core.distribution.DistributionEffect
import org.ragwortlever.core.distribution.DistributionEvent
import org.ragwortlever.core.membership.Health
import org.ragwortlever.core.membership.Incarnation
import org.ragwortlever.core.membership.Member
import org.ragwortlever.core.membership.Membership
import org.ragwortlever.core.membership.MembershipEffect
import org.ragwortlever.core.membership.MembershipEvent
import org.ragwortlever.core.membership.Peer
import org.ragwortlever.daemon.peer.PeerMessage
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

internal class MeasuredFleet(
    size: Int,
    zones: Int,
    regions: Int,
    seed: Int,
) {
    private val random = Random(seed)
    private val listed =
        List(size) {
            Member("entry-vm-$it", "10.0.${it / 250}.${it % 250}", 8080, 7070, "zone-${it % zones}", "region-${it % zones % regions}")
        }
    private val nodes = listed.associate { it.id to Node(it) }

    val queue = EventQueue()
    val store = MeasuredStore()

    /** Messages sent so far, and their bytes without IP and transport headers. */
    var messages = 0L
        private set
    var bytes = 0L
        private set

    /** Nodes that watch the head record. */
    val watchers: Int get() = nodes.values.count { it.watching }

    fun start() = nodes.values.forEach { it.start() }

    /** Puts one change through a node that is drawn by the seed. */
    fun change() {
        val change = store.accept(queue.now)
        nodes.values.random(random).onDistribution(DistributionEvent.Accepted(change))
        nodes.values.filter { it.watching }.forEach { node ->
            queue.after(STORE_DELAY) { node.onDistribution(DistributionEvent.HeadChanged) }
        }
    }

    private fun transmit(
        to: String,
        message: PeerMessage,
    ) {
        val encoded = message.encode()
        messages++
        bytes += encoded.size
        queue.after(random.nextInt(500, 3000).let { it / 1000.0 }.milliseconds) { nodes.getValue(to).received(PeerMessage.decode(encoded)) }
    }

    private inner class Node(
        private val seedMember: Member,
    ) {
        private val id = seedMember.id
        private val distributor = ConfigurationDistributor(Peer(id, seedMember.zone, seedMember.region), Random(random.nextLong()))
        private lateinit var membership: Membership
        var watching = false

        fun start() {
            val incarnation = Incarnation(queue.now.toEpochMilliseconds(), random.nextInt())
            membership = Membership(seedMember.copy(incarnation = incarnation), Random(random.nextLong()))
            onMembership(MembershipEvent.MembersListed(listed))
            queue.after(random.nextInt(TICK_MILLISECONDS).milliseconds, ::tick)
        }

        fun received(message: PeerMessage) {
            message.membership?.let { onMembership(MembershipEvent.Received(message.from, it)) }
            message.distribution?.let { onDistribution(DistributionEvent.Received(message.from, it)) }
        }

        fun onDistribution(event: DistributionEvent) {
            distributor.handle(event, queue.now).forEach { effect ->
                when (effect) {
                    is DistributionEffect.Send -> transmit(effect.to, PeerMessage(id, distribution = effect.message))
                    is DistributionEffect.Watch -> watching = effect.enabled
                    is DistributionEffect.Call -> call(effect)
                    is DistributionEffect.InForce -> Unit
                }
            }
        }

        private fun onMembership(event: MembershipEvent) {
            val effects = membership.handle(event, queue.now)
            effects.filterIsInstance<MembershipEffect.Send>().forEach { transmit(it.to.id, PeerMessage(id, membership = it.message)) }
            if (effects.none { it is MembershipEffect.PublishMembers }) return
            val members = membership.members
            val live = members.filterValues { it == Health.HEALTHY || it == Health.SUSPECT }.keys
            onDistribution(DistributionEvent.MembersChanged(live.map { it.peer }, members.keys.map { it.peer }))
        }

        private fun call(effect: DistributionEffect.Call) {
            val askedAt = queue.now
            queue.after(STORE_DELAY) { onDistribution(store.answer(effect, askedAt)) }
        }

        private fun tick() {
            onMembership(MembershipEvent.Tick)
            onDistribution(DistributionEvent.Tick)
            queue.after(TICK_MILLISECONDS.milliseconds, ::tick)
        }
    }

    private companion object {
        const val TICK_MILLISECONDS = 100
        val STORE_DELAY = 5.milliseconds
    }
}
