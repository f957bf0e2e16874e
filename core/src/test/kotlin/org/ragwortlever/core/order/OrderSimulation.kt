// Model of processes that acquire and lose a zone's order lease, a store and a platform: one immutable state and its moves.
package org.ragwortlever.core.order

import org.ragwortlever.core.lease.HeldLease
import org.ragwortlever.core.lease.LeaseClaim
import org.ragwortlever.core.lease.LeaseStage
import org.ragwortlever.core.lease.LeaseTimes
import org.ragwortlever.core.store.Condition
import org.ragwortlever.core.store.FakeStore
import org.ragwortlever.core.store.StoreAnswer
import org.ragwortlever.core.store.StoreCall
import org.ragwortlever.core.store.StoreFailure
import kotlin.time.Duration
import kotlin.time.Instant

/** A safety mechanism that a run can disable, to show that the check detects the fault that it prevents. */
internal enum class Mechanism { SEND_CHECK, SEND_DEADLINE, SUCCESSOR_WAITS, OWN_VIEW, ASK_FIRST, LEASE_GUARD }

/** Bounds of a run; [losses] is the maximum number of calls that fail, before or after they take effect. */
internal data class OrderBounds(
    val times: LeaseTimes,
    val tick: Duration,
    val horizon: Duration,
    val orders: List<ServerOrder>,
    val losses: Int,
    val isFencingChecked: Boolean = false,
    val hasAtomicLeaseCalls: Boolean = false,
    val without: Set<Mechanism> = Mechanism.entries.filter { it.name in System.getProperty("without").orEmpty().split(',') }.toSet(),
)

/** A process that competes for the lease; [clockRate] is the speed of its clock relative to real time. */
internal data class Holder(
    val lease: LeaseClaim,
    val protocol: OrderProtocol,
    val clockRate: Double = 1.0,
    val leaseCall: Pair<StoreCall, Instant>? = null,
    val orderCall: Pair<OrderCall, Instant>? = null,
)

/** A platform that accepts repeated order ids, and checks fencing tokens only if [OrderBounds.isFencingChecked] is set. */
internal data class FakePlatform(
    val effects: Map<String, Int> = emptyMap(),
    val highestFencing: Long = 0,
    val violation: String? = null,
)

/** A transition to another state, made by [holder] or, if null, by the clock. */
internal class Move(
    val holder: Int?,
    val apply: () -> OrderSimulation,
)

/** State of the model. */
internal data class OrderSimulation(
    val now: Instant,
    val holders: List<Holder>,
    val unrequested: List<ServerOrder>,
    val losses: Int,
    val store: FakeStore = FakeStore(),
    val platform: FakePlatform = FakePlatform(),
) {
    /** Returns a description of the broken rule, or null. */
    fun violation(): String? =
        platform.violation ?: platform.effects.entries.firstOrNull { it.value > 1 }?.let { "${it.key} took effect twice" }

    /** Returns all moves that are possible in this state. */
    fun moves(bounds: OrderBounds): List<Move> {
        val tick = Move(null) { copy(now = now + bounds.tick).let { it.copy(store = it.store.at(it.now)) } }
        return listOfNotNull(tick.takeIf { now < EPOCH + bounds.horizon }) +
            holders.indices.flatMap { leaseMoves(it, bounds) + orderMoves(it, bounds) }
    }

    private fun leaseMoves(
        index: Int,
        bounds: OrderBounds,
    ): List<Move> {
        val holder = holders[index]
        val started =
            holder.leaseCall ?: holder.lease.nextCall(clock(holder))?.takeIf { bounds.hasAtomicLeaseCalls }?.let { it to clock(holder) }
        if (started == null) {
            val call = holder.lease.nextCall(clock(holder)) ?: return emptyList()
            return listOf(Move(index) { with(index, holder.copy(leaseCall = call to clock(holder))) })
        }
        return outcomes(index, started.first) { answer ->
            copy(leaseCall = null, lease = lease.handleAnswer(answer, started.second, clock(this)))
        }
    }

    private fun orderMoves(
        index: Int,
        bounds: OrderBounds,
    ): List<Move> {
        val held = heldLease(holders[index], bounds)
        val holder = holders[index].let { it.copy(protocol = it.protocol.withLease(held)) }
        if (holder.orderCall != null) return completeCall(index, holder, holder.orderCall, bounds)
        if (held == null) return emptyList()
        val request =
            unrequested.firstOrNull()?.takeIf { held.isInCharge(clock(holder)) && holder.protocol.isLoaded }?.let { order ->
                Move(index) { with(index, holder.copy(protocol = holder.protocol.request(order))).copy(unrequested = unrequested.drop(1)) }
            }
        val call = holder.protocol.nextCall(held, clock(holder))
        val begin = call?.let { Move(index) { with(index, holder.copy(orderCall = it to clock(holder))) } }
        return listOfNotNull(request, begin)
    }

    private fun completeCall(
        index: Int,
        holder: Holder,
        started: Pair<OrderCall, Instant>,
        bounds: OrderBounds,
    ): List<Move> {
        val call = started.first

        fun Holder.handle(answer: OrderAnswer) = copy(orderCall = null, protocol = protocol.handleAnswer(call, answer, clock(this)))
        val lost = Move(index) { with(index, holder.handle(OrderAnswer.NoAnswer)).copy(losses = losses - 1) }
        return when (call) {
            is OrderCall.Load -> {
                outcomes(index, call.call, holder) { handle(OrderAnswer.FromStore(it)) }
            }
            is OrderCall.Record -> {
                outcomes(index, call.call.withoutLeaseGuard(bounds), holder) { handle(OrderAnswer.FromStore(it)) }
            }
            is OrderCall.Ask -> {
                val known = call.id in platform.effects && Mechanism.ASK_FIRST !in bounds.without
                val answer = if (known) OrderAnswer.Accepted else OrderAnswer.Unknown
                listOfNotNull(Move(index) { with(index, holder.handle(answer)) }, lost.takeIf { losses > 0 })
            }
            is OrderCall.Send -> {
                val inTime = clock(holder) <= started.second + bounds.times.sendTimeout || Mechanism.SEND_DEADLINE in bounds.without
                if (!inTime) return listOf(Move(index) { with(index, holder.handle(OrderAnswer.NoAnswer)) })
                val (received, answer) = receive(index, call, bounds)
                val arrives = Move(index) { with(index, holder.handle(answer)).copy(platform = received) }
                val answerLost =
                    Move(index) { with(index, holder.handle(OrderAnswer.NoAnswer)).copy(platform = received, losses = losses - 1) }
                listOf(arrives) + if (losses > 0) listOf(lost, answerLost) else emptyList()
            }
        }
    }

    private fun receive(
        index: Int,
        call: OrderCall.Send,
        bounds: OrderBounds,
    ): Pair<FakePlatform, OrderAnswer> {
        if (bounds.isFencingChecked && call.fencing < platform.highestFencing) return platform to OrderAnswer.StaleFencing
        val other = holders.indices.firstOrNull { it != index && heldLease(holders[it], bounds)?.isInCharge(clock(holders[it])) == true }
        val violation = other?.let { "holder $index ordered ${call.order.id} while holder $it was in charge" }
        val effects = platform.effects + (call.order.id to (platform.effects[call.order.id] ?: 0) + 1)
        return FakePlatform(effects, maxOf(platform.highestFencing, call.fencing), platform.violation ?: violation) to OrderAnswer.Accepted
    }

    /** Returns the moves in which [call] succeeds, is lost before it reaches the store, or takes effect without an answer. */
    private fun outcomes(
        index: Int,
        call: StoreCall,
        holder: Holder = holders[index],
        handle: Holder.(StoreAnswer) -> Holder,
    ): List<Move> {
        val (after, answer) = store.call(call, now)
        val failed = StoreAnswer.Failed(StoreFailure.NoAnswer("lost"))
        val done = Move(index) { with(index, holder.handle(answer)).copy(store = after).checkLease(call, answer) }
        val lostBefore = Move(index) { with(index, holder.handle(failed)).copy(losses = losses - 1) }
        val lostAfter = Move(index) { with(index, holder.handle(failed)).copy(store = after, losses = losses - 1).checkLease(call, answer) }
        return when {
            losses == 0 -> listOf(done)
            after == store -> listOf(done, lostBefore)
            else -> listOf(done, lostBefore, lostAfter)
        }
    }

    /** Sets the violation if [call] wrote a record under a lease that had ended. */
    private fun checkLease(
        call: StoreCall,
        answer: StoreAnswer,
    ): OrderSimulation {
        val written = (call as? StoreCall.Commit)?.transaction?.writes?.filterIsInstance<org.ragwortlever.core.store.Write.Put>()
        val value = written?.firstOrNull { it.lease == 0L }?.value ?: return this
        if (answer !is StoreAnswer.Transacted || answer.result !is org.ragwortlever.core.store.TransactionResult.Committed) return this
        val current = store.entries[OrderKeys.lease(ZONE)]?.createRevision
        val stale = OrderRecord.decode(value).fencing != current
        return if (stale) copy(platform = platform.copy(violation = "an order was written under a lease that had ended")) else this
    }

    private fun StoreCall.withoutLeaseGuard(bounds: OrderBounds): StoreCall {
        if (this !is StoreCall.Commit || Mechanism.LEASE_GUARD !in bounds.without) return this
        return StoreCall.Commit(transaction.copy(conditions = transaction.conditions.filterNot { it is Condition.CreatedAt }))
    }

    private fun heldLease(
        holder: Holder,
        bounds: OrderBounds,
    ): HeldLease? {
        val held =
            if (Mechanism.OWN_VIEW in bounds.without) {
                (holder.lease.stage as? LeaseStage.Holding)?.held?.copy(until = Instant.DISTANT_FUTURE)
            } else {
                holder.lease.held(clock(holder))
            }
        return if (Mechanism.SUCCESSOR_WAITS in bounds.without) held?.copy(sendFrom = EPOCH) else held
    }

    private fun clock(holder: Holder): Instant = EPOCH + (now - EPOCH) * holder.clockRate

    private fun with(
        index: Int,
        holder: Holder,
    ): OrderSimulation = copy(holders = holders.toMutableList().apply { set(index, holder) })

    companion object {
        const val ZONE = "zone-a"
        val EPOCH = Instant.fromEpochSeconds(0)

        fun start(
            bounds: OrderBounds,
            clockRates: List<Double>,
        ): OrderSimulation {
            val none = bounds.times.copy(sendTimeout = Duration.ZERO, drift = Duration.ZERO)
            val protocolTimes = if (Mechanism.SEND_CHECK in bounds.without) none else bounds.times
            val holders =
                clockRates.mapIndexed { index, clockRate ->
                    Holder(LeaseClaim(OrderKeys.lease(ZONE), "vm-$index", bounds.times), OrderProtocol(ZONE, protocolTimes), clockRate)
                }
            return OrderSimulation(EPOCH, holders, bounds.orders, bounds.losses)
        }

        fun order(
            id: String,
            action: OrderAction = OrderAction.START,
            server: String = "server-1",
        ) = ServerOrder(id, ZONE, action, server, "standard")
    }
}
