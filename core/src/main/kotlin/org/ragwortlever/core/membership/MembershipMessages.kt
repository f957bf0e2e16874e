// The datagrams between nodes, and the events and effects of the failure detector.
package org.ragwortlever.core.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
sealed interface MembershipMessage {
    /** What the sender knows; its own record comes first. */
    val updates: List<Member>

    /** Answered with an [Ack] of the same [number]. */
    @Serializable
    @SerialName("p")
    data class Ping(
        @SerialName("n") val number: Long,
        @SerialName("u") override val updates: List<Member>,
    ) : MembershipMessage

    @Serializable
    @SerialName("k")
    data class Ack(
        @SerialName("n") val number: Long,
        @SerialName("u") override val updates: List<Member>,
    ) : MembershipMessage

    /** Urgent updates; not answered. */
    @Serializable
    @SerialName("u")
    data class UrgentUpdates(
        @SerialName("u") override val updates: List<Member>,
    ) : MembershipMessage

    /** Asks the receiver to ping [target] and to pass the answer on as an [Ack] of [number]. */
    @Serializable
    @SerialName("q")
    data class PingRequest(
        @SerialName("n") val number: Long,
        @SerialName("t") val target: String,
        @SerialName("u") override val updates: List<Member>,
    ) : MembershipMessage
}

sealed interface MembershipEvent {
    /** The platform's list was read. It lags. */
    data class MembersListed(
        val members: List<Member>,
    ) : MembershipEvent

    data class Received(
        val from: String,
        val message: MembershipMessage,
    ) : MembershipEvent

    /** This node is going to stop. */
    data object LeaveRequested : MembershipEvent

    /** Time has passed; sent at least every 100 ms. */
    data object Tick : MembershipEvent
}

sealed interface MembershipEffect {
    data class Send(
        val to: Member,
        val message: MembershipMessage,
    ) : MembershipEffect

    /** The member list or somebody's health is different. */
    data object PublishMembers : MembershipEffect
}
