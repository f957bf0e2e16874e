// A roll-out of a new version of a service's backend servers: the operators' order and the state that the store keeps.
package org.ragwortlever.core.rollout

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.ragwortlever.core.store.epochOf
import kotlin.time.Duration

/**
 * An operator's order to move the traffic of [service] to servers of [version] within [duration].
 *
 * @property revision store revision of the order; an order that is written again is a new one. In another epoch of the
 *   store the revision of the same order is another one, see [RolloutRecord.carriesOut].
 */
data class RolloutOrder(
    val service: String,
    val version: String,
    val duration: Duration,
    val revision: Long,
)

/** Stage of a roll-out. */
@Serializable
enum class RolloutStage {
    /** A small share of the requests goes to the new version. */
    CANARY,

    /** All new requests go to the new version; requests that began on the old one end there. */
    PROMOTED,

    /** The old servers may stop. */
    COMPLETED,

    /** The new version gets nothing more. */
    ROLLED_BACK,
}

/**
 * The state of a roll-out, written by the VM that holds the fleet's duties and followed by all VMs.
 *
 * @property order revision of the order that it carries out, in the newest epoch of the store in which it was written.
 * @property share share of the requests that the new version gets, from 0 to 1.
 * @property startedAtMilliseconds when the first holder began, in milliseconds since 1970.
 * @property stageSinceMilliseconds when the stage began, in milliseconds since 1970.
 * @property deadlineMilliseconds when the operator wants it to be completed, in milliseconds since 1970.
 * @property holder name of the VM that wrote it, which collects the evidence.
 * @property reason why the stage was reached.
 */
@Serializable
data class RolloutRecord(
    val service: String,
    val order: Long,
    val version: String,
    val stage: RolloutStage,
    val share: Double,
    val startedAtMilliseconds: Long,
    val stageSinceMilliseconds: Long,
    val deadlineMilliseconds: Long,
    val holder: String,
    val reason: String = "",
) {
    val isOpen: Boolean get() = stage == RolloutStage.CANARY || stage == RolloutStage.PROMOTED

    /**
     * Whether this is a record of [wanted]. An order of another epoch of the store with the same version and duration is the
     * same one: its entry was in the copy from which the store came back, or the operator has written it again since.
     */
    fun carriesOut(wanted: RolloutOrder): Boolean {
        val duration = deadlineMilliseconds - startedAtMilliseconds
        val isSame = version == wanted.version && duration == wanted.duration.inWholeMilliseconds
        return order == wanted.revision || (isSame && epochOf(order) != epochOf(wanted.revision))
    }

    /** Returns the record with the revision of [wanted], which it carries out, if that is of a later epoch of the store. */
    fun withRevisionOf(wanted: RolloutOrder): RolloutRecord =
        if (epochOf(wanted.revision) > epochOf(order)) copy(order = wanted.revision) else this

    /** Whether [other] is a record of the same roll-out, perhaps of another stage, or with the order's revision of another epoch. */
    fun isSameRollout(other: RolloutRecord): Boolean =
        order == other.order ||
            (version == other.version && startedAtMilliseconds == other.startedAtMilliseconds && epochOf(order) != epochOf(other.order))

    /** Whether this record is of a later roll-out of the service than [other], or of a later stage of the same one. */
    fun isAfter(other: RolloutRecord): Boolean = compareValuesBy(this, other, { it.startedAtMilliseconds }, { it.stage }) > 0

    fun encode(): String = Json.encodeToString(serializer(), this)
}
