// Processes that hold and lose a zone's role, a store and a platform, as one immutable state with its possible moves.
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

/** A mechanism that a run can leave out, to show that the check finds what it guards against. */
internal enum class Mechanism { SEND_CHECK, SEND_DEADLINE, SUCCESSOR_WAITS, OWN_VIEW, ASK_FIRST, LEASE_GUARD }

/** What a run covers; [losses] bounds the calls that fail, before or after their effect. */
internal data class OrderBounds(
    val times: LeaseTimes,
    val tick: Duration,
    val horizon: Duration,
    val orders: List<ServerOrder>,
    val losses: Int,
    val fencingChecked: Boolean = false,
    val atomicLeaseCalls: Boolean = false,
    val without: Set<Mechanism> = Mechanism.entries.filter { it.name in System.getProperty("without").orEmpty().split(',') }.toSet(),
)

/** [clockRate] is the speed of this process's clock. */
internal data class SimulatedHolder(
    val lease: LeaseClaim,
    val protocol: OrderProtocol,
    val clockRate: Double = 1.0,
    val leaseCall: Pair<StoreCall, Instant>? = null,
    val orderCall: Pair<OrderCall, Instant>? = null,
)

/** A platform that checks neither ids nor, unless told to, fencing numbers. */
internal data class FakePlatform(
    val effects: Map<String, Int> = emptyMap(),
    val highestFencing: Long = 0,
    val violation: String? = null,
)

internal class Move(
    val holder: Int?,
    val apply: () -> OrderSimulation,
)

internal data class OrderSimulation(
    val now: Instant,
    val holders: List<SimulatedHolder>,
    val unrequested: List<ServerOrder>,
    val losses: Int,
    val store: FakeStore = FakeStore(),
    val platform: FakePlatform = FakePlatform(),
) {
    fun violation(): String? =
        platform.violation ?: platform.effects.entries.firstOrNull { it.value > 1 }?.let { "${it.key} took effect twice" }

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
        val started = holder.leaseCall ?: holder.lease.nextCall(clock(holder))?.takeIf { bounds.atomicLeaseCalls }?.let { it to clock(holder) }
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
        holder: SimulatedHolder,
        started: Pair<OrderCall, Instant>,
        bounds: OrderBounds,
    ): List<Move> {
        val call = started.first

        fun SimulatedHolder.applyAnswer(answer: OrderAnswer) = copy(orderCall = null, protocol = protocol.handleAnswer(call, answer, clock(this)))
        val lost = Move(index) { with(index, holder.applyAnswer(OrderAnswer.NoAnswer)).copy(losses = losses - 1) }
        return when (call) {
            is OrderCall.Load -> {
                outcomes(index, call.call, holder) { applyAnswer(OrderAnswer.FromStore(it)) }
            }
            is OrderCall.Record -> {
                outcomes(index, call.call.withoutLeaseGuard(bounds), holder) { applyAnswer(OrderAnswer.FromStore(it)) }
            }
            is OrderCall.Ask -> {
                val known = call.id in platform.effects && Mechanism.ASK_FIRST !in bounds.without
                val answer = if (known) OrderAnswer.Accepted else OrderAnswer.Unknown
                listOfNotNull(Move(index) { with(index, holder.applyAnswer(answer)) }, lost.takeIf { losses > 0 })
            }
            is OrderCall.Send -> {
                val inTime = clock(holder) <= started.second + bounds.times.sendTimeout || Mechanism.SEND_DEADLINE in bounds.without
                if (!inTime) return listOf(Move(index) { with(index, holder.applyAnswer(OrderAnswer.NoAnswer)) })
                val (received, answer) = receive(index, call, bounds)
                val arrives = Move(index) { with(index, holder.applyAnswer(answer)).copy(platform = received) }
                val answerLost =
                    Move(index) { with(index, holder.applyAnswer(OrderAnswer.NoAnswer)).copy(platform = received, losses = losses - 1) }
                listOf(arrives) + if (losses > 0) listOf(lost, answerLost) else emptyList()
            }
        }
    }

    private fun receive(
        index: Int,
        call: OrderCall.Send,
        bounds: OrderBounds,
    ): Pair<FakePlatform, OrderAnswer> {
        if (bounds.fencingChecked && call.fencing < platform.highestFencing) return platform to OrderAnswer.StaleFencing
        val other = holders.indices.firstOrNull { it != index && heldLease(holders[it], bounds)?.isInCharge(clock(holders[it])) == true }
        val violation = other?.let { "holder $index ordered ${call.order.id} while holder $it was in charge" }
        val effects = platform.effects + (call.order.id to (platform.effects[call.order.id] ?: 0) + 1)
        return FakePlatform(effects, maxOf(platform.highestFencing, call.fencing), platform.violation ?: violation) to OrderAnswer.Accepted
    }

    /** Moves in which [call] succeeds, is lost before it reaches the store, or loses its answer. */
    private fun outcomes(
        index: Int,
        call: StoreCall,
        holder: SimulatedHolder = holders[index],
        applyAnswer: SimulatedHolder.(StoreAnswer) -> SimulatedHolder,
    ): List<Move> {
        val (after, answer) = store.call(call, now)
        val failed = StoreAnswer.Failed(StoreFailure.NoAnswer("lost"))
        val done = Move(index) { with(index, holder.applyAnswer(answer)).copy(store = after).checkWriteUnderCurrentLease(call, answer) }
        val lostBefore = Move(index) { with(index, holder.applyAnswer(failed)).copy(losses = losses - 1) }
        val lostAfter = Move(index) { with(index, holder.applyAnswer(failed)).copy(store = after, losses = losses - 1).checkWriteUnderCurrentLease(call, answer) }
        return when {
            losses == 0 -> listOf(done)
            after == store -> listOf(done, lostBefore)
            else -> listOf(done, lostBefore, lostAfter)
        }
    }

    /** Notes a record that was written under a lease that had already ended. */
    private fun checkWriteUnderCurrentLease(
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
        holder: SimulatedHolder,
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

    private fun clock(holder: SimulatedHolder): Instant = EPOCH + (now - EPOCH) * holder.clockRate

    private fun with(
        index: Int,
        holder: SimulatedHolder,
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
                    SimulatedHolder(LeaseClaim(OrderKeys.lease(ZONE), "vm-$index", bounds.times), OrderProtocol(ZONE, protocolTimes), clockRate)
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
