/*
 * What the nodes tell each other about the configuration, and the events and effects of the state machine that
 * spreads it.
 */
package org.ragwortlever.core.distribution

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import org.ragwortlever.core.membership.Peer
import kotlin.time.Instant

/** A change record as the store holds it: the JSON [text] of the change that led to [revision]. */
@Serializable
data class EncodedChange(
    val revision: Long,
    val text: String,
)

@Serializable
sealed interface DistributionMessage {
    /** Asks for the receiver's revision and freshness; the answer carries [number]. */
    @Serializable
    @SerialName("a")
    data class Ask(
        val number: Long,
        val revision: Long,
    ) : DistributionMessage

    /**
     * The sender's copy when it answered.
     *
     * @property proofAge age in milliseconds of the newest read of the head that [revision] covers.
     * @property zoneAges age in milliseconds of the newest word from each availability zone that it cannot reach the store.
     */
    @Serializable
    @SerialName("b")
    data class Answer(
        val number: Long,
        val revision: Long,
        val proofAge: Long?,
        val zoneAges: Map<String, Long>,
    ) : DistributionMessage

    /** A new change, passed on once by each node. */
    @Serializable
    @SerialName("c")
    data class Push(
        val change: EncodedChange,
    ) : DistributionMessage

    /** Asks for the changes after [after]; answered with [Changes] or, when the sender lacks them, not at all. */
    @Serializable
    @SerialName("d")
    data class Fetch(
        val after: Long,
    ) : DistributionMessage

    @Serializable
    @SerialName("e")
    data class Changes(
        val changes: List<EncodedChange>,
    ) : DistributionMessage

    /** Asks for the whole document; sent by a node that starts while the store is down. */
    @Serializable
    @SerialName("f")
    data object FetchDocument : DistributionMessage

    /** The whole document at [revision] as JSON. */
    @Serializable
    @SerialName("g")
    data class Document(
        val revision: Long,
        val text: String,
    ) : DistributionMessage
}

/** The sections of a document as JSON entries by section and id. */
typealias Sections = Map<String, Map<String, JsonElement>>

sealed interface DistributionEvent {
    /** The nodes that are known now; [known] also holds those that do not answer but may still run. */
    data class MembersChanged(
        val live: List<Peer>,
        val known: List<Peer> = live,
    ) : DistributionEvent

    data class Received(
        val from: String,
        val message: DistributionMessage,
    ) : DistributionEvent

    /** An operator's put through this node was accepted as [change]. */
    data class Accepted(
        val change: EncodedChange,
    ) : DistributionEvent

    /** The watch reported a change of the head. */
    data object HeadChanged : DistributionEvent

    /** A read of the head that started at [started] returned [revision]. */
    data class HeadRead(
        val revision: Long,
        val started: Instant,
    ) : DistributionEvent

    data class ChangesRead(
        val changes: List<EncodedChange>,
    ) : DistributionEvent

    /** A consistent read of all sections at [revision]; the read of its head started at [started]. */
    data class SectionsRead(
        val revision: Long,
        val sections: Sections,
        val started: Instant,
    ) : DistributionEvent

    data class StoreFailed(
        val call: StoreCall,
    ) : DistributionEvent

    /** Time has passed; sent at least every 100 ms. */
    data object Tick : DistributionEvent
}

/** The calls to the store that the state machine asks for. */
enum class StoreCall { READ_HEAD, READ_CHANGES, READ_SECTIONS }

sealed interface DistributionEffect {
    data class Send(
        val to: String,
        val message: DistributionMessage,
    ) : DistributionEffect

    /** Read from the store; [after] is the revision that the copy has. */
    data class Call(
        val call: StoreCall,
        val after: Long,
    ) : DistributionEffect

    /** Start or end the watch of the head. */
    data class Watch(
        val enabled: Boolean,
    ) : DistributionEffect

    /** Put [revision] in force on this node. */
    data class InForce(
        val revision: Long,
        val sections: Sections,
    ) : DistributionEffect
}
