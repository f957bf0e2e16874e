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

    // Guards against a second effect, or a lost order, when a holder wakes at any step of the order path.
    @Test
    fun `given a holder paused past its lease at each step, when it wakes, then each order takes effect once and is confirmed`() {
        repeat(40) { step ->
            var world = OrderSimulation.start(bounds, listOf(1.0, 1.0))
            repeat(step) { world = world.step(only = 0) }
            val paused = world.now
            // A request that its holder has not written yet ends with the lease; whoever made it decides anew.
            val unwritten =
                bounds.orders.map { it.id } - world.unrequested.map { it.id }.toSet() - world.records().map { it.order.id }.toSet()
            val expected = bounds.orders.map { it.id } - unwritten.toSet()
            while (world.now < paused + 30.seconds) world = world.step(only = 1)
            while (world.moves(bounds).isNotEmpty() && world.now < OrderSimulation.EPOCH + 110.seconds) world = world.step(only = null)
            expectThat(world.violation()).describedAs("paused after step $step").isNull()
            expectThat(world.platform.effects).describedAs("paused after step $step").isEqualTo(expected.associateWith { 1 })
            val steps = world.records().map { it.step }
            expectThat(steps).describedAs("paused after step $step").isEqualTo(expected.map { OrderStep.CONFIRMED })
        }
    }

    // Guards against a send from a holder that woke after its deadline, where the receiver ignores fencing numbers.
    @Test
    fun `given a holder paused between check and write, when it wakes, then only a send without a deadline reaches the platform`() {
        expectThat(simulatePauseInSend(bounds).platform.violation).isNull()
        val withoutDeadline = bounds.copy(without = setOf(Mechanism.SEND_DEADLINE))
        expectThat(simulatePauseInSend(withoutDeadline).platform.violation).isNotNull()
        expectThat(simulatePauseInSend(withoutDeadline.copy(fencingChecked = true)).platform.violation).isNull()
    }

    // Guards against a successor that misses an order since a lagging replica answered its first read.
    @Test
    fun `given a read older than the lease, when a successor loads, then it reads again`() {
        val lease = HeldLease("lease", lease = 1, fencing = 7, until = OrderSimulation.EPOCH + 9.seconds, sendFrom = OrderSimulation.EPOCH)
        val protocol = OrderProtocol(OrderSimulation.ZONE).withLease(lease)
        val call = expectThat(protocol.nextCall(lease, OrderSimulation.EPOCH)).isNotNull().subject

        fun load(revision: Long) = OrderAnswer.FromStore(StoreAnswer.Found(StoreRead(revision, emptyList())))
        expectThat(protocol.handleAnswer(call, load(6), OrderSimulation.EPOCH).isLoaded).isFalse()
        expectThat(protocol.handleAnswer(call, load(7), OrderSimulation.EPOCH).isLoaded).isTrue()
    }

    // Guards against a stop that overtakes the start of the same server, whose answer is still open.
    @Test
    fun `given two orders for one server, when the first has no answer, then the second waits and the platform is asked`() {
        val lease = HeldLease("lease", lease = 1, fencing = 2, until = OrderSimulation.EPOCH + 9.seconds, sendFrom = OrderSimulation.EPOCH)
        val start = OrderSimulation.order("order-1")
        val stop = OrderSimulation.order("order-2", OrderAction.STOP)
        var protocol = OrderProtocol(OrderSimulation.ZONE, fencing = 2, isLoaded = true, pending = listOf(PendingOrder(start, OrderStage.SEND, 3, 2)))
        protocol = protocol.request(stop)
        val send = expectThat(protocol.nextCall(lease, OrderSimulation.EPOCH)).isEqualTo(OrderCall.Send(2, start)).subject!!
        protocol = protocol.handleAnswer(send, OrderAnswer.NoAnswer, OrderSimulation.EPOCH)
        expectThat(protocol.nextCall(lease, OrderSimulation.EPOCH)).isNull()
        expectThat(protocol.nextCall(lease, OrderSimulation.EPOCH + 1.seconds)).isEqualTo(OrderCall.Ask(2, "order-1"))
        expectThat(protocol.withLease(null).pending).isEmpty()
    }

    /** Holder 0 pauses after the check; holder 1 takes over and is in charge when holder 0 wakes. */
    private fun simulatePauseInSend(bounds: OrderBounds): OrderSimulation {
        var world = OrderSimulation.start(bounds, listOf(1.0, 1.0))
        while (world.holders[0].orderCall?.first !is OrderCall.Send) world = world.step(only = 0, bounds)
        while (world.platform.effects.isEmpty()) world = world.step(only = 1, bounds)
        return world.step(only = 0, bounds)
    }

    /** Makes the next move of one holder, or of any; time passes when there is none. */
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
