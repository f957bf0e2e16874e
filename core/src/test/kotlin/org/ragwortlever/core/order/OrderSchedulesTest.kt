package org.ragwortlever.core.order

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.ragwortlever.core.lease.LeaseTimes
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isNull
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Guards against orders from two processes that both believe they are in charge, and orders that take effect twice. */
@OptIn(ExperimentalKotest::class)
class OrderSchedulesTest {
    @Test
    fun `H4 - given random schedules with pauses and lost answers, when the role changes hands, then orders come from one holder, once`() {
        val schedules = Integer.getInteger("schedules", 1000)
        val settled = sortedMapOf<Int, Int>()
        println("H4 random schedules: seed=$SEED schedules=$schedules")
        runBlocking {
            checkAll(PropTestConfig(seed = SEED, iterations = schedules), Arb.long()) { seed ->
                val end = runRandomSchedule(Random(seed))
                expectThat(end.violation()).describedAs("violation in schedule $seed").isNull()
                settled.merge(end.platform.effects.size, 1, Int::plus)
            }
        }
        println("H4 random schedules: orders that took effect -> schedules $settled")
        expectThat(
            settled.getOrDefault(ORDERS.size, 0),
        ).describedAs("schedules in which all orders took effect").isGreaterThan(schedules / 2)
    }

    @Test
    fun `H4 - given 2 holders and 1 order, when all schedules are explored, then none breaks the rule`() {
        val bounds =
            OrderBounds(
                times = LeaseTimes(3.seconds, 1.seconds, 0.seconds, 1.seconds, 1.seconds, 1.seconds, 1.seconds),
                tick = 1.seconds,
                horizon = Integer.getInteger("horizon", 4).seconds,
                orders = listOf(OrderSimulation.order("order-1")),
                losses = 1,
                atomicLeaseCalls = true,
            )
        var layer = setOf(OrderSimulation.start(bounds, listOf(1.0, 1.0)))
        var states = 0
        var ordered = 0
        while (layer.isNotEmpty()) {
            val seen = HashSet(layer)
            val nextLayer = HashSet<OrderSimulation>()
            val open = ArrayDeque(layer)
            while (open.isNotEmpty()) {
                val world = open.removeFirst()
                expectThat(world.violation()).isNull()
                world.moves(bounds).map { it.apply() }.forEach { next ->
                    if (next.now > world.now) {
                        nextLayer += next
                    } else if (seen.add(next)) {
                        open += next
                    }
                }
            }
            states += seen.size
            ordered += seen.count { it.platform.effects.isNotEmpty() }
            println("H4 exploration: ${seen.size} states at ${layer.first().now - OrderSimulation.EPOCH}")
            layer = nextLayer
        }
        println(
            "H4 exploration: states=$states; 2 holders, 1 order, ${bounds.losses} lost call, ${bounds.horizon} in steps of ${bounds.tick}",
        )
        expectThat(ordered).isGreaterThan(0)
    }

    private fun runRandomSchedule(random: Random): OrderSimulation {
        val clockRates = List(3) { 1.0 + random.nextDouble(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT) }
        val bounds = OrderBounds(LeaseTimes(), 500.milliseconds, 90.seconds, ORDERS, losses = 8)
        var world = OrderSimulation.start(bounds, clockRates)
        val pausedUntil = MutableList(clockRates.size) { Instant.DISTANT_PAST }
        while (true) {
            val moves = world.moves(bounds).filter { it.holder == null || pausedUntil[it.holder] <= world.now }
            if (moves.none { it.holder == null }) return world
            if (random.nextInt(STEPS_PER_PAUSE) == 0) pausedUntil[random.nextInt(clockRates.size)] = world.now + random.nextInt(1, 16).seconds
            world = moves.random(random).apply()
        }
    }

    private companion object {
        const val SEED = 20_260_204L

        // The drift allowance of 0.5 s in 10 s covers two clocks that each run 2.5% off.
        const val MAX_CLOCK_DRIFT = 0.025
        const val STEPS_PER_PAUSE = 40
        val ORDERS =
            listOf(
                OrderSimulation.order("order-1"),
                OrderSimulation.order("order-2", server = "server-2"),
                OrderSimulation.order("order-3", OrderAction.STOP),
                OrderSimulation.order("order-4"),
            )
    }
}
