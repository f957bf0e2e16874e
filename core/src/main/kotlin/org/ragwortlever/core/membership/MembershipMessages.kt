// Datagrams between nodes, and events and effects of the failure detector.
package org.ragwortlever.core.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Message of the failure detector; every message carries membership updates. */
@Serializable
sealed interface MembershipMessage {
    /** Member records from the sender, its own first. */
    val updates: List<Member>

    /** Probe; the receiver replies with an [Ack] of the same [number]. */
    @Serializable
    @SerialName("p")
    data class Ping(
        @SerialName("n") val number: Long,
        @SerialName("u") override val updates: List<Member>,
    ) : MembershipMessage

    /** Reply to the [Ping] or [PingRequest] with the same [number]. */
    @Serializable
    @SerialName("k")
    data class Ack(
        @SerialName("n") val number: Long,
        @SerialName("u") override val updates: List<Member>,
    ) : MembershipMessage

    /** Updates that are sent without waiting for a probe; the receiver does not reply. */
    @Serializable
    @SerialName("u")
    data class UrgentUpdates(
        @SerialName("u") override val updates: List<Member>,
    ) : MembershipMessage

    /** Asks the receiver to ping [target] and, if the target replies, to send an [Ack] with [number]. */
    @Serializable
    @SerialName("q")
    data class PingRequest(
        @SerialName("n") val number: Long,
        @SerialName("t") val target: String,
        @SerialName("u") override val updates: List<Member>,
    ) : MembershipMessage
}

/** Input of [Membership.handle]. */
sealed interface MembershipEvent {
    /** The platform's list of entry VMs was read. The list lags behind the actual state. */
    data class MembersListed(
        val members: List<Member>,
    ) : MembershipEvent

    /** [message] arrived from the node with id [from]. */
    data class Received(
        val from: String,
        val message: MembershipMessage,
    ) : MembershipEvent

    /** This node is about to stop. */
    data object LeaveRequested : MembershipEvent

    /** Lets timeouts be checked; must be sent at least every 100 ms. */
    data object Tick : MembershipEvent
}

/** Action that the caller of [Membership.handle] must carry out. */
sealed interface MembershipEffect {
    data class Send(
        val to: Member,
        val message: MembershipMessage,
    ) : MembershipEffect

    /** Pass on the current members, because the list or the health of a member may have changed. */
    data object PublishMembers : MembershipEffect
}
