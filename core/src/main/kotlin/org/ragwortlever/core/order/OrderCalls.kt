// Calls of the order protocol to the store and to the platform's order API, and their answers.
package org.ragwortlever.core.order

import org.ragwortlever.core.store.StoreAnswer
import org.ragwortlever.core.store.StoreCall

/** One call to the store or the platform; [fencing] is the fencing token of the lease under which it is made. */
sealed interface OrderCall {
    val fencing: Long

    /** Reads the orders that earlier lease holders wrote. */
    data class Load(
        override val fencing: Long,
        val call: StoreCall.Read,
    ) : OrderCall

    /** Reads or writes the record of order [id]. */
    data class Record(
        override val fencing: Long,
        val id: String,
        val call: StoreCall,
    ) : OrderCall

    /** Asks the platform whether it has order [id]. */
    data class Ask(
        override val fencing: Long,
        val id: String,
    ) : OrderCall

    /** Sends the order, provided that the lease is still safe to send under immediately before the bytes are written. */
    data class Send(
        override val fencing: Long,
        val order: ServerOrder,
    ) : OrderCall
}

/** The outcome of an [OrderCall]. */
sealed interface OrderAnswer {
    /** The store's answer to a [OrderCall.Load] or [OrderCall.Record]. */
    data class FromStore(
        val answer: StoreAnswer,
    ) : OrderAnswer

    /** The platform has the order, so it took effect. */
    data object Accepted : OrderAnswer

    /** The platform was asked and does not have the order. */
    data object Unknown : OrderAnswer

    /** The platform refused the order because it has seen a higher fencing token. */
    data object StaleFencing : OrderAnswer

    /** The platform refused the order for a permanent [reason]; a retry would be refused too. */
    data class Rejected(
        val reason: String,
    ) : OrderAnswer

    /** The call was not sent; no byte left this process. */
    data object NotSent : OrderAnswer

    /** The call was sent but not answered; it may have taken effect. */
    data object NoAnswer : OrderAnswer
}
