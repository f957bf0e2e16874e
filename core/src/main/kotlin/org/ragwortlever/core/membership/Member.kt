// Member records that nodes exchange, and the rule by which a newer record replaces an older one.
package org.ragwortlever.core.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Version of a node's own record. A restart has a later [startedAtMillis]; within one run the node increases
 * [refutations] to override what other nodes report about it.
 *
 * @property startedAtMillis start of the process in milliseconds since the Unix epoch.
 * @property nonce distinguishes two runs that started in the same millisecond.
 * @property refutations version within the run; starts at 0.
 */
@Serializable
data class Incarnation(
    @SerialName("s") val startedAtMillis: Long,
    @SerialName("n") val nonce: Int = 0,
    @SerialName("r") val refutations: Int = 0,
) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = compareValuesBy(this, other, { it.startedAtMillis }, { it.refutations }, { it.nonce })

    /** Returns an incarnation of this run that is newer than both this one and [other]. */
    fun supersede(other: Incarnation): Incarnation = copy(
        startedAtMillis = maxOf(startedAtMillis, other.startedAtMillis),
        refutations = maxOf(refutations, other.refutations) + 1,
    )

    companion object {
        /** Incarnation of a node that is known only from the platform's list and has not sent a record yet. */
        val UNKNOWN: Incarnation = Incarnation(0)
    }
}

/** State of a member. Of two records with the same incarnation, the one with the later state in this order wins. */
@Serializable
enum class MemberState {
    @SerialName("a")
    ALIVE,

    @SerialName("s")
    SUSPECT,

    @SerialName("d")
    DEAD,
}

/**
 * Record of a node: its own description, and the [state] that a node detected for it.
 *
 * @property callerPort port for callers.
 * @property peerPort UDP port for messages of other nodes.
 * @property isLeaving whether the node has announced that it is stopping. It still serves requests, but takes
 *   no new callers.
 */
@Serializable
data class Member(
    @SerialName("i") val id: String,
    @SerialName("a") val address: String,
    @SerialName("c") val callerPort: Int,
    @SerialName("p") val peerPort: Int,
    @SerialName("z") val zone: String,
    @SerialName("r") val region: String,
    @SerialName("n") val incarnation: Incarnation = Incarnation.UNKNOWN,
    @SerialName("s") val state: MemberState = MemberState.ALIVE,
    @SerialName("l") val isLeaving: Boolean = false,
) {
    val peer: Peer get() = Peer(id, zone, region)

    /** Whether this record must spread at once, because callers have to avoid the node. */
    val isUrgent: Boolean get() = isLeaving || state != MemberState.ALIVE

    /** Whether this record is newer than [other], a record of the same node. */
    fun replaces(other: Member): Boolean =
        incarnation > other.incarnation || (incarnation == other.incarnation && state > other.state)
}

/** Health of a member as this node sees it. */
enum class Health {
    HEALTHY,
    SUSPECT,

    /** The member's whole region is unreachable, so the state of the member itself is unknown. */
    REGION_UNREACHABLE,
    DEAD,
}
