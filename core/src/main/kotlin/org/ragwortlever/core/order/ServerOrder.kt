// Orders to start and stop backend servers, and their records in the store.
package org.ragwortlever.core.order

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** What an order does with its server. */
@Serializable
enum class OrderAction {
    @SerialName("start")
    START,

    @SerialName("stop")
    STOP,
}

/** An order for one server; [id] is never reused, so that the platform can be asked for the outcome of the order. */
@Serializable
data class ServerOrder(
    val id: String,
    val zone: String,
    val action: OrderAction,
    val server: String,
    val kind: String,
)

/** State of an order in the store. */
@Serializable
enum class OrderStep {
    /** The order is recorded; it may or may not have been sent. */
    @SerialName("written")
    WRITTEN,

    /** The platform has the order. */
    @SerialName("confirmed")
    CONFIRMED,

    /** The platform refused the order permanently. */
    @SerialName("rejected")
    REJECTED,
}

/** An order as stored; [fencing] is the fencing token of the holder that wrote the record last. */
@Serializable
data class OrderRecord(
    val order: ServerOrder,
    val fencing: Long,
    val step: OrderStep,
) {
    /** Returns the JSON text that is stored. */
    fun encode(): String = Json.encodeToString(serializer(), this)

    companion object {
        /**
         * Parses a stored record.
         *
         * @throws kotlinx.serialization.SerializationException if [text] is not a JSON record of this type.
         */
        fun decode(text: String): OrderRecord = Json.decodeFromString(serializer(), text)
    }
}

/** Store keys of the orders and of the order lease. */
object OrderKeys {
    /** Lease key of the process that places the orders for [zone]. */
    fun lease(zone: String): String = "/ragwortlever/leases/orders/$zone"

    /** Prefix of all orders of [zone]. */
    fun prefix(zone: String): String = "/ragwortlever/orders/$zone/"

    /** Key of the record of order [id]. */
    fun order(
        zone: String,
        id: String,
    ): String = prefix(zone) + id
}
