// A roll-out of a new version of a service's backend servers: the operators' order and the state that the store keeps.
package org.ragwortlever.core.rollout

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlin.time.Duration

/**
 * An operator's order to move the traffic of [service] to servers of [version] within [duration].
 *
 * @property revision store revision of the order; an order that is written again is a new one.
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
 * @property order revision of the order that it carries out.
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

    fun encode(): String = Json.encodeToString(serializer(), this)
}
