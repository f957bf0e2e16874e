package org.ragwortlever.core.usage

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.ragwortlever.core.lease.LeaseTimes
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Guards against windows with two different totals, reports by two lease holders, and usage that is lost or counted twice. */
@OptIn(ExperimentalKotest::class)
class UsageSchedulesTest {
    @Test
    fun `H5 - given random schedules with late usage, when a node dies, then reports add up to what was counted and flushed`() {
        val schedules = Integer.getInteger("schedules", 1000)
        var corrected = 0
        println("H5 random schedules: seed=$SEED schedules=$schedules")
        runBlocking {
            checkAll(PropTestConfig(seed = SEED, iterations = schedules), Arb.long()) { seed ->
                val end = runSchedule(Random(seed), seed)
                if (end.store.entries.keys.any { it.startsWith(UsageKeys.LATE_PREFIX) }) corrected++
            }
        }
        println("H5 random schedules: $corrected with corrections")
        expectThat(corrected).isGreaterThan(0)
    }

    @Test
    fun `H5 - given 2 reporters and late usage, when all schedules are explored, then no window has two different totals`() {
        val times = LeaseTimes(30.seconds, 30.seconds, 0.seconds, 0.seconds, 30.seconds, 30.seconds, 30.seconds)
        val bounds = UsageBounds(times, 30.seconds, Instant.fromEpochSeconds(90), staleReads = false, gracePeriod = 0.seconds)
        val empty = UsageSimulation.start(bounds, Instant.fromEpochSeconds(60), sources = 1, remainingCounts = 0, remainingLosses = 0)
        val counted = empty.sources.map { it.copy(ledger = it.ledger.record("account", UsageCounts(1), Instant.fromEpochSeconds(59))) }
        var layer = setOf(empty.copy(sources = counted))
        var states = 0
        while (layer.isNotEmpty()) {
            val seen = HashSet(layer)
            val later = HashSet<UsageSimulation>()
            val open = ArrayDeque(layer)
            while (open.isNotEmpty()) {
                val simulation = open.removeFirst()
                expectThat(simulation.violation()).isNull()
                simulation.transitions(bounds).filter { it.name != "copy" }.map { it.apply() }.forEach { next ->
                    if (next.now > simulation.now) {
                        later += next
                    } else if (seen.add(next)) {
                        open += next
                    }
                }
            }
            states += seen.size
            println("H5 exploration: ${seen.size} states at ${layer.first().now}, ${seen.count { it.reports.isNotEmpty() }} with reports")
            layer = later
        }
        println("H5 exploration: states=$states; 2 reporters, 1 source, 30 s in steps of 30 s")
        expectThat(states).isGreaterThan(0)
    }

    private fun runSchedule(
        random: Random,
        seed: Long,
    ): UsageSimulation {
        val bounds = UsageBounds(TIMES, tick = 5.seconds, end = Instant.fromEpochSeconds(400), staleReads = true)
        var simulation = UsageSimulation.start(bounds, Instant.fromEpochSeconds(0), sources = 2, remainingCounts = 40, remainingLosses = 10)
        val killAt = random.nextInt(600)
        var uncopied = 0L
        var flushFrom = simulation.now
        repeat(Int.MAX_VALUE) { step ->
            if (step == killAt) {
                val first = simulation.sources.first()
                val copied = simulation.copies.bySource[first.ledger.source]?.values?.maxOfOrNull { it.sequence } ?: 0
                uncopied = first.ledger.sequence - copied
                simulation = simulation.copy(sources = listOf(first.copy(isAlive = false)) + simulation.sources.drop(1))
            }
            if (random.nextInt(STEPS_PER_PAUSE) == 0) flushFrom = simulation.now + random.nextInt(1, 120).seconds
            val transitions = simulation.transitions(bounds).filterNot { "flush" in it.name && simulation.now < flushFrom }
            if (transitions.none { it.name == "tick" } && step > killAt) return drain(simulation, seed, uncopied)
            simulation = (if (transitions.isEmpty()) return drain(simulation, seed, uncopied) else transitions.random(random)).apply()
            expectThat(simulation.violation()).describedAs("violation in schedule $seed").isNull()
        }
        error("unreachable: the schedule ends with a drain")
    }

    /** Flushes, seals and reports everything without further failures, and compares the counted, stored and reported sums. */
    private fun drain(
        start: UsageSimulation,
        seed: Long,
        uncopied: Long,
    ): UsageSimulation {
        val bounds = UsageBounds(TIMES, tick = 5.seconds, end = Instant.fromEpochSeconds(900), staleReads = false)
        var simulation = start.copy(remainingLosses = 0, remainingCounts = 0)
        var steps = 0
        while (true) {
            check(++steps < 20_000) { "schedule $seed does not settle: ${simulation.transitions(bounds).map { it.name }} at $simulation" }
            val transitions = simulation.transitions(bounds)
            val work = transitions.filter { it.name != "tick" && it.name != "copy" }
            simulation =
                (
                    work.firstOrNull {
                        it.name.startsWith("flush")
                    } ?: work.firstOrNull() ?: transitions.firstOrNull { it.name == "tick" } ?: break
                ).apply()
        }
        val counted = simulation.sources.sumOf { it.ledger.sequence }
        val reported = simulation.sealedTotals()["account"]?.requests ?: 0
        val stored =
            simulation.store.entries.values
                .filter { "/usage/open/" in it.key || "/usage/late/" in it.key }
                .groupBy { it.key.substringAfter("/usage/").substringAfter('/') }
                .values
                .sumOf { parts -> parts.maxOf { UsagePart.decode(it.value).counts.values.sumOf { count -> count.requests } } }
        expectThat(simulation.violation()).describedAs("violation in schedule $seed").isNull()
        expectThat(reported).describedAs("reported compared with flushed in schedule $seed").isEqualTo(stored)
        expectThat(counted - reported).describedAs("lost in schedule $seed").isLessThanOrEqualTo(uncopied)
        return simulation
    }

    private companion object {
        const val SEED = 20_260_205L

        // Six times the default times, so that a step of 5 s is short compared with a lease.
        val TIMES = LeaseTimes(60.seconds, 18.seconds, 3.seconds, 12.seconds, 5.seconds, 5.seconds, 60.seconds)
        const val STEPS_PER_PAUSE = 100
    }
}
