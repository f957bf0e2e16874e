/*
 * The protocol by which the holder of a zone's role orders backend servers: each order is written, sent and
 * confirmed. It makes one call at a time: `nextCall` names it and `handleAnswer` takes its answer. A new holder first loads
 * the orders that lack a confirmation, and asks the platform about each before it sends it.
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
import org.ragwortlever.core.store.committedAt
import org.ragwortlever.core.store.readSince
import kotlin.time.Instant

/** What the holder does next with an order. */
enum class OrderStage {
    /** Writes the record with this holder's fencing number. */
    WRITE,

    /** Reads the record, since a write has no clear answer. */
    READ,

    /** Asks the platform, since the order may have been sent. */
    ASK,
    SEND,
    CONFIRM,
    REJECT,
}

/**
 * An order that is not settled.
 *
 * @property writtenRevision revision of the record's last known write; 0 if it has none.
 * @property fencing number in the record.
 * @property notBefore when the next call may be made.
 */
data class PendingOrder(
    val order: ServerOrder,
    val stage: OrderStage,
    val writtenRevision: Long = 0,
    val fencing: Long = 0,
    val notBefore: Instant = Instant.DISTANT_PAST,
)

/**
 * The orders of [zone] in one process.
 *
 * @property fencing number of the lease that the state belongs to; 0 without a lease.
 * @property isLoaded whether the orders of earlier holders are known.
 * @property isSuperseded whether the platform has seen a higher number; nothing is done until a new lease is held.
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
    /** Starts anew when the lease changed: what an earlier lease left unsettled is in the store. */
    fun withLease(lease: HeldLease?): OrderProtocol {
        val number = lease?.fencing ?: 0
        return if (number == fencing) this else OrderProtocol(zone, times, number)
    }

    /** Adds an order, unless this process has no lease. An order that is not written when the lease ends is dropped. */
    fun request(order: ServerOrder): OrderProtocol {
        if (fencing == 0L || pending.any { it.order.id == order.id }) return this
        return copy(pending = pending + PendingOrder(order, OrderStage.WRITE))
    }

    /** The call to make now under [lease], or null if there is none to make yet. */
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

    /** Takes the answer to [call]; an answer to a call under an earlier lease is dropped. */
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

    /** Earlier holders wrote under conditions on their own lease key, so a read since ours was created shows all they wrote. */
    private fun handleLoadAnswer(
        answer: OrderAnswer,
        now: Instant,
    ): OrderProtocol {
        val read = answer.storeAnswer()?.readSince(fencing) ?: return copy(loadNotBefore = now + times.retry)
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
            OrderStage.WRITE -> OrderCall.Record(this@OrderProtocol.fencing, order.id, StoreCall.Commit(recordUpdate(lease, OrderStep.WRITTEN)))
            OrderStage.READ -> OrderCall.Record(this@OrderProtocol.fencing, order.id, StoreCall.Read(recordKey()))
            OrderStage.ASK -> OrderCall.Ask(this@OrderProtocol.fencing, order.id)
            OrderStage.SEND -> OrderCall.Send(this@OrderProtocol.fencing, order).takeIf { lease.isSafeToSend(now, times) }
            OrderStage.CONFIRM -> OrderCall.Record(this@OrderProtocol.fencing, order.id, StoreCall.Commit(recordUpdate(lease, OrderStep.CONFIRMED)))
            OrderStage.REJECT -> OrderCall.Record(this@OrderProtocol.fencing, order.id, StoreCall.Commit(recordUpdate(lease, OrderStep.REJECTED)))
        }

    private fun PendingOrder.recordUpdate(
        lease: HeldLease,
        step: OrderStep,
    ): Transaction {
        val unchanged = if (writtenRevision == 0L) Condition.Absent(recordKey()) else Condition.ModifiedAt(recordKey(), writtenRevision)
        val record = OrderRecord(order, lease.fencing, step)
        return Transaction(listOf(Condition.CreatedAt(lease.key, lease.fencing), unchanged), listOf(Write.Put(recordKey(), record.encode())))
    }

    private fun PendingOrder.handleRecordAnswer(
        call: StoreCall,
        answer: OrderAnswer,
        now: Instant,
    ): PendingOrder? {
        if (call is StoreCall.Read) return handleReadAnswer(answer, now)
        val revision = answer.storeAnswer()?.committedAt() ?: return copy(stage = OrderStage.READ, notBefore = now)
        return if (stage == OrderStage.WRITE) copy(stage = OrderStage.SEND, writtenRevision = revision, fencing = this@OrderProtocol.fencing) else null
    }

    private fun PendingOrder.handleReadAnswer(
        answer: OrderAnswer,
        now: Instant,
    ): PendingOrder? {
        val found = answer.storeAnswer()?.readSince(maxOf(writtenRevision, this@OrderProtocol.fencing)) ?: return copy(notBefore = now + times.retry)
        val entry: StoreEntry = found.entries.firstOrNull() ?: return copy(stage = OrderStage.WRITE, notBefore = now + times.retry)
        val record = OrderRecord.decode(entry.value)
        if (record.step != OrderStep.WRITTEN) return null
        return copy(stage = OrderStage.ASK, writtenRevision = entry.modifyRevision, fencing = record.fencing, notBefore = now + times.retry)
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

    private fun PendingOrder.recordKey() = OrderKeys.order(zone, order.id)
}

/** Orders for one server run one after another, in the order in which they were written. */
private fun PendingOrder.isForSameServer(other: PendingOrder) = order.server == other.order.server

private fun OrderAnswer.storeAnswer(): StoreAnswer? = (this as? OrderAnswer.FromStore)?.answer
