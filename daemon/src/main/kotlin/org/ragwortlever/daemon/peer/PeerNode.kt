// Connects the failure detector of this entry VM to the peer sockets, and publishes the members to the rest of the daemon.
package org.ragwortlever.daemon.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import org.ragwortlever.core.capacity.NodeGroup
import org.ragwortlever.core.distribution.DistributionEvent
import org.ragwortlever.core.distribution.DistributionMessage
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.core.membership.Health
import org.ragwortlever.core.membership.Incarnation
import org.ragwortlever.core.membership.Member
import org.ragwortlever.core.membership.Membership
import org.ragwortlever.core.membership.MembershipEffect
import org.ragwortlever.core.membership.MembershipEvent
import org.ragwortlever.core.membership.entryVms
import org.ragwortlever.core.settings.Settings
import org.ragwortlever.daemon.control.ControlLoop
import org.ragwortlever.daemon.platform.VirtualMachine
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds

/**
 * This entry VM as a member of the group of entry VMs.
 *
 * @param onDistributionEvent receives the events for the distribution of the configuration.
 * @param onMembersChanged receives the live entry VMs whenever they change.
 */
class PeerNode(
    private val settings: Settings,
    private val control: ControlLoop,
    private val clock: Clock,
    private val onDistributionEvent: (DistributionEvent) -> Unit,
    private val onMembersChanged: (NodeGroup) -> Unit,
) : AutoCloseable {
    private val sockets = PeerSockets(settings.address, settings.peerPort)
    private lateinit var membership: Membership
    private var addresses: Map<String, Member> = emptyMap()

    /** The port on which this entry VM listens for its peers, with UDP and TCP. */
    val port: Int get() = sockets.port

    /** Number of live entry VMs, this one included. */
    @Volatile
    var liveNodeCount: Int = 1
        private set

    /** Joins the other entry VMs; [callerPort] is the port on which callers reach this one. */
    fun start(callerPort: Int) {
        val incarnation = Incarnation(clock.now().toEpochMilliseconds(), Random.nextInt())
        val self = Member(settings.nodeId, settings.address, callerPort, port, settings.zone, settings.region, incarnation)
        control.post { membership = Membership(self, Random.Default) }
        sockets.start { message -> control.post { handleMessage(message) } }
        control.every(TICK_INTERVAL) { handle(MembershipEvent.Tick) }
    }

    /** Passes the platform's list of entry VMs to the failure detector. */
    fun updateListedMachines(machines: List<VirtualMachine>) =
        control.post { handle(MembershipEvent.MembersListed(machines.map { it.toMember() })) }

    /** Tells the other entry VMs at once that this one is going to stop. */
    fun announceLeaving() = control.post { handle(MembershipEvent.LeaveRequested) }

    /**
     * Returns the entry VMs for [caller], the preferred one first. Throws [java.util.concurrent.TimeoutException] if the control
     * loop does not answer within two seconds.
     */
    fun entryVms(caller: String): List<Member> {
        val answer = CompletableFuture<List<Member>>()
        control.post { answer.complete(membership.entryVms(caller)) }
        return answer.get(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }

    /** Sends [message] to the node [to]; a message to an unknown node is dropped. */
    fun send(
        to: String,
        message: DistributionMessage,
    ) {
        val member = addresses[to] ?: return
        sockets.send(member.address, member.peerPort, PeerMessage(settings.nodeId, distribution = message))
    }

    override fun close() = sockets.close()

    private fun handleMessage(message: PeerMessage) {
        message.membership?.let { handle(MembershipEvent.Received(message.from, it)) }
        message.distribution?.let { onDistributionEvent(DistributionEvent.Received(message.from, it)) }
    }

    private fun handle(event: MembershipEvent) {
        val effects = membership.handle(event, clock.now())
        effects.filterIsInstance<MembershipEffect.Send>().forEach { effect ->
            sockets.send(effect.to.address, effect.to.peerPort, PeerMessage(settings.nodeId, membership = effect.message))
        }
        if (effects.any { it is MembershipEffect.PublishMembers }) publishMembers()
    }

    private fun publishMembers() {
        val members = membership.members
        addresses = members.keys.associateBy { it.id }
        val live = members.filterValues { it == Health.HEALTHY || it == Health.SUSPECT }.keys
        onDistributionEvent(DistributionEvent.MembersChanged(live.map { it.peer }, members.keys.map { it.peer }))
        liveNodeCount = live.size
        onMembersChanged(NodeGroup.of(settings.nodeId, live.map { it.id }))
        logger.debug { eventLine("members", "live" to live.size, "known" to members.size) }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        val TICK_INTERVAL = 100.milliseconds
        const val ANSWER_TIMEOUT_SECONDS = 2L
    }
}

private fun VirtualMachine.toMember() =
    Member(id = id, address = address, callerPort = callerPort, peerPort = peerPort, zone = zone, region = region, isLeaving = leaving)
