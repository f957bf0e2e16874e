package org.ragwortlever.core.usage

import org.junit.jupiter.api.Test
import org.ragwortlever.core.lease.LeaseTimes
import org.ragwortlever.core.store.FakeStore
import strikt.api.expectThat
import strikt.assertions.isEmpty
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Times are twelve times those of a platform with windows of 5 s, leases of 3 s and reports that are due after 10 s. */
class RestoreTimelinessTest {
    // Guards against windows that are reported late, incompletely or never, although the holder of the duty lives.
    @Test
    fun `given a store that comes back at any moment, when the holder lives, then every window is reported in time and complete`() {
        val problems =
            moments().flatMap { restoreAt ->
                ages().flatMap { age -> PunctualRun(restoreAt, age, outage = OUTAGE).run().findProblems() }
            }
        println("restores with a living holder: ${problems.size} windows late or wrong in ${moments().count() * ages().count()} runs")
        expectThat(problems.take(EXAMPLES)).isEmpty()
    }

    // Guards against reports that wait for an epoch of the store in calm and after an outage without loss.
    @Test
    fun `given an outage of the store without a loss, when it ends, then every window is reported in time and complete`() {
        val outages = listOf(Duration.ZERO, OUTAGE, OUTAGE * 2)
        val problems = moments().flatMap { at -> outages.flatMap { PunctualRun(at, age = null, outage = it).run().findProblems() } }
        println("outages without a loss: ${problems.size} windows late or wrong in ${moments().count() * outages.size} runs")
        expectThat(problems.take(EXAMPLES)).isEmpty()
    }

    private fun moments() = (300..419 step 6).map { Instant.fromEpochSeconds(it.toLong()) }

    private fun ages() = (12..144 step 12).map { it.seconds }

    private companion object {
        const val EXAMPLES = 5
        val OUTAGE = 12.seconds
    }
}

/** One run in which every call is made as soon as it is due. [age] is that of the copy; null if the store loses nothing. */
private class PunctualRun(
    private val restoreAt: Instant,
    private val age: Duration?,
    private val outage: Duration,
) {
    private val bounds = UsageBounds(TIMES, TICK, END, staleReads = false, gracePeriod = GRACE)
    private val copies = ArrayList<Pair<Instant, FakeStore>>()
    private val counted = HashMap<String, Long>()
    private val reportedAt = HashMap<String, Instant>()
    private var lastCount = START
    private var simulation =
        UsageSimulation.start(bounds, START, sources = 2, remainingCounts = 1000, remainingLosses = 0).let { start ->
            start.copy(
                reporters = start.reporters.take(1),
                sources = start.sources.map { it.copy(ledger = it.ledger.copy(retention = DUE)) },
            )
        }

    fun run(): PunctualRun {
        var steps = 0
        while (simulation.now < END) {
            check(++steps < MAXIMUM_STEPS) { "the run does not settle: ${simulation.transitions(bounds).map { it.name }}" }
            val before = simulation.now
            simulation = nextTransition().apply()
            simulation.reports.keys.forEach { reportedAt.getOrPut(it) { simulation.now } }
            if (simulation.now > before) enterTick()
        }
        return this
    }

    fun findProblems(): List<String> =
        counted.filterKeys { UsageWindow.parse(it).end + DUE < END }.mapNotNull { (window, requests) ->
            val reports = simulation.reports[window].orEmpty().map { SealedWindow.decode(it) }
            val figures = reports.map { report -> report.totals.values.sumOf { it.requests } }
            val lateness = reportedAt[window]?.let { it - UsageWindow.parse(window).end }
            "restore at $restoreAt age $age outage $outage: $window $figures of $requests after $lateness".takeIf {
                figures != listOf(requests) || lateness == null || lateness > DUE
            }
        }

    private fun nextTransition(): UsageTransition {
        val transitions = simulation.transitions(bounds).filter { it.isPossible() }
        val due = ORDER.firstNotNullOfOrNull { name -> transitions.firstOrNull { it.name.startsWith(name) } }
        return due ?: transitions.first { it.name == "tick" }
    }

    /** Nodes learn of a new epoch with their next call, some time after the store is back. */
    private fun UsageTransition.isPossible(): Boolean {
        val isAway = simulation.now >= restoreAt - outage && simulation.now < restoreAt
        if (isAway && (name.startsWith("lease") || name.startsWith("report") || name.startsWith("flush"))) return false
        return !name.startsWith("learn source") || simulation.now >= restoreAt + LEARN_DELAY
    }

    private fun enterTick() {
        copies += simulation.now to simulation.store
        if (simulation.now == restoreAt && age != null) {
            val restored = simulation.store.restored(copies.last { it.first <= restoreAt - age }.second).at(simulation.now)
            simulation = simulation.copy(store = restored)
        }
        if (simulation.now < lastCount + COUNT_INTERVAL) return
        lastCount = simulation.now
        simulation = simulation.transitions(bounds).first { it.name == "count" }.apply()
        counted.merge(UsageWindow.containing(simulation.now).name, 1, Long::plus)
    }

    private companion object {
        val TIMES = LeaseTimes(36.seconds, 9.seconds, 3.6.seconds, 9.seconds, 3.6.seconds, 360.seconds, 360.seconds)
        val TICK = 3.seconds
        val GRACE = 30.seconds
        val DUE = 120.seconds
        val START = Instant.fromEpochSeconds(0)
        val END = Instant.fromEpochSeconds(720)
        val COUNT_INTERVAL = 6.seconds
        const val MAXIMUM_STEPS = 20_000
        val LEARN_DELAY = 42.seconds
        val ORDER = listOf("learn", "flush 0", "flush 1", "lease", "report", "arrives", "begin")
    }
}
