/*
 * The state machine with which the holder of a zone's order lease orders backend servers. Each order is written to the
 * store, sent to the platform and confirmed in the store. One call is in flight at a time: `nextCall` returns it and
 * `handleAnswer` applies its answer. A new holder first loads the unconfirmed orders, and asks the platform about each of
 * them before sending it.
 */
package org.ragwortlever.core.order

import org.ragwortlever.core.lease.HeldLease
import org.ragwortlever.core.lease.LeaseTimes
import org.ragwortlever.core.store.Condition
import org.ragwortlever.core.store.StoreAnswer
import org.ragwortlever.core.store.StoreCall
import org.ragwortlever.core.store.StoreEntry
import org.ragwortlever.core.store.Transaction
import org.ragwortlever.core.store.Write
import org.ragwortlever.core.store.committedRevision
import org.ragwortlever.core.store.readSince
import kotlin.time.Instant

/** The next step for an order. */
enum class OrderStage {
    /** Writes the record with this holder's fencing token. */
    WRITE,

    /** Reads the record, because the outcome of a write is unknown. */
    READ,

    /** Asks the platform whether it has the order, because the order may have been sent. */
    ASK,

    /** Sends the order to the platform. */
    SEND,

    /** Marks the record as confirmed. */
    CONFIRM,

    /** Marks the record as rejected. */
    REJECT,
}

/**
 * An order that is neither confirmed nor rejected.
 *
 * @property revision store revision of the record's last known write; 0 if there is none.
 * @property fencing fencing token in the record.
 * @property notBefore earliest time of the next call.
 */
data class PendingOrder(
    val order: ServerOrder,
    val stage: OrderStage,
    val revision: Long = 0,
    val fencing: Long = 0,
    val notBefore: Instant = Instant.DISTANT_PAST,
)

/**
 * The pending orders of [zone] in one process.
 *
 * @property fencing fencing token of the lease that the state belongs to; 0 without a lease.
 * @property isLoaded whether the orders of earlier holders have been read.
 * @property isSuperseded whether the platform has seen a higher fencing token; no call is made until a new lease is held.
 * @property loadNotBefore earliest time of the next attempt to load the orders.
 */
data class OrderProtocol(
    val zone: String,
    val times: LeaseTimes = LeaseTimes(),
    val fencing: Long = 0,
    val isLoaded: Boolean = false,
    val isSuperseded: Boolean = false,
    val loadNotBefore: Instant = Instant.DISTANT_PAST,
    val pending: List<PendingOrder> = emptyList(),
) {
    /** Discards the state if the lease changed: orders left pending under an earlier lease are loaded from the store. */
    fun withLease(lease: HeldLease?): OrderProtocol {
        val token = lease?.fencing ?: 0
        return if (token == fencing) this else OrderProtocol(zone, times, token)
    }

    /** Adds an order if this process holds the lease. An order that has not been written when the lease ends is dropped. */
    fun request(order: ServerOrder): OrderProtocol {
        if (fencing == 0L || pending.any { it.order.id == order.id }) return this
        return copy(pending = pending + PendingOrder(order, OrderStage.WRITE))
    }

    /** Returns the call to make at [now] under [lease], or null if none is due. */
    fun nextCall(
        lease: HeldLease,
        now: Instant,
    ): OrderCall? {
        if (isSuperseded || lease.fencing != fencing || !lease.isInCharge(now)) return null
        if (!isLoaded) return OrderCall.Load(fencing, StoreCall.Read(OrderKeys.prefix(zone), prefix = true)).takeIf { now >= loadNotBefore }
        return pending
            .filterIndexed { index, order -> now >= order.notBefore && pending.subList(0, index).none { it.isForSameServer(order) } }
            .firstNotNullOfOrNull { it.callForStage(lease, now) }
    }

    /** Applies the answer to [call]; an answer to a call made under an earlier lease is ignored. */
    fun handleAnswer(
        call: OrderCall,
        answer: OrderAnswer,
        now: Instant,
    ): OrderProtocol =
        when {
            call.fencing != fencing -> this
            call is OrderCall.Load -> handleLoadAnswer(answer, now)
            answer is OrderAnswer.StaleFencing -> copy(isSuperseded = true)
            call is OrderCall.Record -> updateOrder(call.id) { it.handleRecordAnswer(call.call, answer, now) }
            call is OrderCall.Ask -> updateOrder(call.id) { it.handleAskAnswer(answer, now) }
            call is OrderCall.Send -> updateOrder(call.order.id) { it.handleSendAnswer(answer, now) }
            else -> this
        }

    /**
     * Earlier holders wrote on condition that their own lease key existed, so a read at or after the creation revision of
     * this holder's key shows everything they wrote.
     */
    private fun handleLoadAnswer(
        answer: OrderAnswer,
        now: Instant,
    ): OrderProtocol {
        val read = answer.store()?.readSince(fencing) ?: return copy(loadNotBefore = now + times.retry)
        val unsettled =
            read.entries
                .sortedBy { it.createRevision }
                .map { it to OrderRecord.decode(it.value) }
                .filter { (_, record) -> record.step == OrderStep.WRITTEN }
                .map { (entry, record) -> PendingOrder(record.order, OrderStage.ASK, entry.modifyRevision, record.fencing) }
        val ids = unsettled.map { it.order.id }.toSet()
        val settled = read.entries.map { it.key }.toSet()
        val requested = pending.filter { it.order.id !in ids && OrderKeys.order(zone, it.order.id) !in settled }
        return copy(isLoaded = true, pending = unsettled + requested)
    }

    private fun updateOrder(
        id: String,
        change: (PendingOrder) -> PendingOrder?,
    ): OrderProtocol = copy(pending = pending.mapNotNull { if (it.order.id == id) change(it) else it })

    private fun PendingOrder.callForStage(
        lease: HeldLease,
        now: Instant,
    ): OrderCall? =
        when (stage) {
            OrderStage.WRITE -> OrderCall.Record(this@OrderProtocol.fencing, order.id, StoreCall.Commit(put(lease, OrderStep.WRITTEN)))
            OrderStage.READ -> OrderCall.Record(this@OrderProtocol.fencing, order.id, StoreCall.Read(key()))
            OrderStage.ASK -> OrderCall.Ask(this@OrderProtocol.fencing, order.id)
            OrderStage.SEND -> OrderCall.Send(this@OrderProtocol.fencing, order).takeIf { lease.isSafeToSend(now, times) }
            OrderStage.CONFIRM -> OrderCall.Record(this@OrderProtocol.fencing, order.id, StoreCall.Commit(put(lease, OrderStep.CONFIRMED)))
            OrderStage.REJECT -> OrderCall.Record(this@OrderProtocol.fencing, order.id, StoreCall.Commit(put(lease, OrderStep.REJECTED)))
        }

    /** Returns the transaction that writes the record with [step] while the lease key exists and the record is unchanged. */
    private fun PendingOrder.put(
        lease: HeldLease,
        step: OrderStep,
    ): Transaction {
        val unchanged = if (revision == 0L) Condition.Absent(key()) else Condition.ModifiedAt(key(), revision)
        val record = OrderRecord(order, lease.fencing, step)
        return Transaction(listOf(Condition.CreatedAt(lease.key, lease.fencing), unchanged), listOf(Write.Put(key(), record.encode())))
    }

    private fun PendingOrder.handleRecordAnswer(
        call: StoreCall,
        answer: OrderAnswer,
        now: Instant,
    ): PendingOrder? {
        if (call is StoreCall.Read) return handleReadAnswer(answer, now)
        val revision = answer.store()?.committedRevision() ?: return copy(stage = OrderStage.READ, notBefore = now)
        return if (stage == OrderStage.WRITE) {
            copy(stage = OrderStage.SEND, revision = revision, fencing = this@OrderProtocol.fencing)
        } else {
            null
        }
    }

    private fun PendingOrder.handleReadAnswer(
        answer: OrderAnswer,
        now: Instant,
    ): PendingOrder? {
        val found = answer.store()?.readSince(maxOf(revision, this@OrderProtocol.fencing)) ?: return copy(notBefore = now + times.retry)
        val entry: StoreEntry = found.entries.firstOrNull() ?: return copy(stage = OrderStage.WRITE, notBefore = now + times.retry)
        val record = OrderRecord.decode(entry.value)
        if (record.step != OrderStep.WRITTEN) return null
        return copy(stage = OrderStage.ASK, revision = entry.modifyRevision, fencing = record.fencing, notBefore = now + times.retry)
    }

    private fun PendingOrder.handleAskAnswer(
        answer: OrderAnswer,
        now: Instant,
    ): PendingOrder =
        when {
            answer == OrderAnswer.Accepted -> copy(stage = OrderStage.CONFIRM)
            answer != OrderAnswer.Unknown -> copy(notBefore = now + times.retry)
            fencing == this@OrderProtocol.fencing -> copy(stage = OrderStage.SEND)
            else -> copy(stage = OrderStage.WRITE)
        }

    private fun PendingOrder.handleSendAnswer(
        answer: OrderAnswer,
        now: Instant,
    ): PendingOrder =
        when (answer) {
            is OrderAnswer.Accepted -> copy(stage = OrderStage.CONFIRM)
            is OrderAnswer.Rejected -> copy(stage = OrderStage.REJECT)
            is OrderAnswer.NotSent -> copy(notBefore = now + times.retry)
            else -> copy(stage = OrderStage.ASK, notBefore = now + times.retry)
        }

    private fun PendingOrder.key() = OrderKeys.order(zone, order.id)
}

/** Orders for the same server are processed one at a time, in the sequence in which they were written. */
private fun PendingOrder.isForSameServer(other: PendingOrder) = order.server == other.order.server

private fun OrderAnswer.store(): StoreAnswer? = (this as? OrderAnswer.FromStore)?.answer
