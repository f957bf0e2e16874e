// What nodes know of each other, and how newer knowledge replaces older.
package org.ragwortlever.core.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One run of a node. A later run of the same node has a later [startedAtMillis]; within a run the node raises [refutations] to
 * refute what others believe of it.
 *
 * @property startedAtMillis start of the process, in milliseconds since the epoch.
 * @property nonce tells apart two runs that started in the same millisecond.
 */
@Serializable
data class Incarnation(
    @SerialName("s") val startedAtMillis: Long,
    @SerialName("n") val nonce: Int = 0,
    @SerialName("r") val refutations: Int = 0,
) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = compareValuesBy(this, other, { it.startedAtMillis }, { it.refutations }, { it.nonce })

    /** An incarnation of the same run that is newer than [other]. */
    fun supersede(other: Incarnation): Incarnation = copy(
        startedAtMillis = maxOf(startedAtMillis, other.startedAtMillis),
        refutations =
            maxOf(refutations, other.refutations) + 1,
    )

    companion object {
        /** A node that is known from the platform's list only. */
        val UNKNOWN: Incarnation = Incarnation(0)
    }
}

/** In the order in which one replaces another of the same incarnation. */
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
 * A node as it describes itself, with what another node believes of it in [state].
 *
 * @property isLeaving whether the node has announced that it stops. It still serves, but takes no new callers.
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

    /** Whether others should hear of this at once, because it keeps callers away from the node. */
    val isUrgent: Boolean get() = isLeaving || state != MemberState.ALIVE

    /** Whether this record replaces [other]. */
    fun replaces(other: Member): Boolean =
        incarnation > other.incarnation || (incarnation == other.incarnation && state > other.state)
}

/** How a node sees a member. */
enum class Health {
    HEALTHY,
    SUSPECT,

    /** Its whole region cannot be reached, so nothing is known about the member itself. */
    REGION_UNREACHABLE,
    DEAD,
}
