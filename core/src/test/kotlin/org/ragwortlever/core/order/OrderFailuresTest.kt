package org.ragwortlever.core.order

import org.junit.jupiter.api.Test
import org.ragwortlever.core.lease.HeldLease
import org.ragwortlever.core.lease.LeaseTimes
import org.ragwortlever.core.store.StoreAnswer
import org.ragwortlever.core.store.StoreRead
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class OrderFailuresTest {
    private val bounds =
        OrderBounds(
            LeaseTimes(),
            tick = 500.milliseconds,
            horizon = 120.seconds,
            orders = listOf(OrderSimulation.order("order-1"), OrderSimulation.order("order-2", OrderAction.STOP)),
            losses = 0,
        )

    // Guards against an order that takes effect twice or is lost when its holder is paused past its lease at any step.
    @Test
    fun `given a holder paused past its lease at each step, when it resumes, then each order takes effect once and is confirmed`() {
        repeat(40) { step ->
            var state = OrderSimulation.start(bounds, listOf(1.0, 1.0))
            repeat(step) { state = state.step(only = 0) }
            val paused = state.now
            // An order that its holder has not written is dropped with the lease; the requester decides again.
            val unwritten =
                bounds.orders.map { it.id } - state.unrequested.map { it.id }.toSet() - state.records().map { it.order.id }.toSet()
            val expected = bounds.orders.map { it.id } - unwritten.toSet()
            while (state.now < paused + 30.seconds) state = state.step(only = 1)
            while (state.moves(bounds).isNotEmpty() && state.now < OrderSimulation.EPOCH + 110.seconds) state = state.step(only = null)
            expectThat(state.violation()).describedAs("paused after step $step").isNull()
            expectThat(state.platform.effects).describedAs("paused after step $step").isEqualTo(expected.associateWith { 1 })
            val steps = state.records().map { it.step }
            expectThat(steps).describedAs("paused after step $step").isEqualTo(expected.map { OrderStep.CONFIRMED })
        }
    }

    // Guards against a late send by a holder that was paused past its send deadline, to a receiver that ignores fencing tokens.
    @Test
    fun `given a holder paused between check and write, when it resumes, then only a send without a deadline reaches the platform`() {
        expectThat(simulatePauseInSend(bounds).platform.violation).isNull()
        val withoutDeadline = bounds.copy(without = setOf(Mechanism.SEND_DEADLINE))
        expectThat(simulatePauseInSend(withoutDeadline).platform.violation).isNotNull()
        expectThat(simulatePauseInSend(withoutDeadline.copy(isFencingChecked = true)).platform.violation).isNull()
    }

    // Guards against a successor that misses an order because a lagging replica answered its first read.
    @Test
    fun `given a read older than the lease, when a successor loads, then it reads again`() {
        val lease = HeldLease("lease", lease = 1, fencing = 7, until = OrderSimulation.EPOCH + 9.seconds, sendFrom = OrderSimulation.EPOCH)
        val protocol = OrderProtocol(OrderSimulation.ZONE).withLease(lease)
        val call = expectThat(protocol.nextCall(lease, OrderSimulation.EPOCH)).isNotNull().subject

        fun load(revision: Long) = OrderAnswer.FromStore(StoreAnswer.Found(StoreRead(revision, emptyList())))
        expectThat(protocol.handleAnswer(call, load(6), OrderSimulation.EPOCH).isLoaded).isFalse()
        expectThat(protocol.handleAnswer(call, load(7), OrderSimulation.EPOCH).isLoaded).isTrue()
    }

    // Guards against a stop that overtakes an unanswered start of the same server.
    @Test
    fun `given two orders for one server, when the first has no answer, then the second waits and the platform is asked`() {
        val lease = HeldLease("lease", lease = 1, fencing = 2, until = OrderSimulation.EPOCH + 9.seconds, sendFrom = OrderSimulation.EPOCH)
        val start = OrderSimulation.order("order-1")
        val stop = OrderSimulation.order("order-2", OrderAction.STOP)
        var protocol =
            OrderProtocol(OrderSimulation.ZONE, fencing = 2, isLoaded = true, pending = listOf(PendingOrder(start, OrderStage.SEND, 3, 2)))
        protocol = protocol.request(stop)
        val send = expectThat(protocol.nextCall(lease, OrderSimulation.EPOCH)).isEqualTo(OrderCall.Send(2, start)).subject!!
        protocol = protocol.handleAnswer(send, OrderAnswer.NoAnswer, OrderSimulation.EPOCH)
        expectThat(protocol.nextCall(lease, OrderSimulation.EPOCH)).isNull()
        expectThat(protocol.nextCall(lease, OrderSimulation.EPOCH + 1.seconds)).isEqualTo(OrderCall.Ask(2, "order-1"))
        expectThat(protocol.withLease(null).pending).isEmpty()
    }

    /** Pauses holder 0 between its check and its send until an order of its successor, holder 1, has taken effect. */
    private fun simulatePauseInSend(bounds: OrderBounds): OrderSimulation {
        var state = OrderSimulation.start(bounds, listOf(1.0, 1.0))
        while (state.holders[0].orderCall?.first !is OrderCall.Send) state = state.step(only = 0, bounds)
        while (state.platform.effects.isEmpty()) state = state.step(only = 1, bounds)
        return state.step(only = 0, bounds)
    }

    /** Makes the next move of holder [only], or of any holder if null; advances the clock if there is none. */
    private fun OrderSimulation.step(
        only: Int?,
        bounds: OrderBounds = this@OrderFailuresTest.bounds,
    ): OrderSimulation {
        val moves = moves(bounds)
        val own = moves.filter { it.holder != null && (only == null || it.holder == only) }
        return (own.lastOrNull() ?: moves.first { it.holder == null }).apply()
    }

    private fun OrderSimulation.records() =
        store.entries.values.filter { it.key.startsWith(OrderKeys.prefix(OrderSimulation.ZONE)) }.map { OrderRecord.decode(it.value) }
}
