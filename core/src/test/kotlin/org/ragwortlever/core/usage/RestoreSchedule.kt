// Random schedules of usage reporting in which the store comes back from an older copy while the reporters run.
package org.ragwortlever.core.usage

import org.ragwortlever.core.lease.LeaseClaim
import org.ragwortlever.core.lease.LeaseTimes
import org.ragwortlever.core.store.FakeStore
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** What happens to reporters when the store comes back. */
internal enum class HolderFault {
    NONE,

    /** The holder is started again and knows nothing. */
    RESTARTED,

    /** The holder is suspended. */
    FROZEN,

    /** The holder does not reach the store; it still reaches the usage service. */
    CUT_OFF,

    /** All reporters are started again. */
    ALL_RESTARTED,
}

/**
 * One schedule, drawn with [seed].
 *
 * @param faults what may happen to the holder at a restore.
 * @param maximumRestores highest number of times that the store comes back from a copy.
 */
internal class RestoreSchedule(
    private val seed: Long,
    private val faults: List<HolderFault>,
    private val maximumRestores: Int,
    lateCalls: Boolean = false,
) {
    private val random = Random(seed)
    private val bounds = UsageBounds(TIMES, TICK, FAULTS_END, staleReads = false, lateCalls = lateCalls)
    private val restores =
        List(if (maximumRestores == 0) 0 else 1 + random.nextInt(maximumRestores)) { at(random.nextInt(60, 380)) }.sorted().toMutableList()
    private val copies = ArrayList<Pair<Instant, FakeStore>>()
    private val counted = HashMap<String, Long>()
    private var simulation =
        UsageSimulation.start(bounds, at(0), sources = 2, remainingCounts = COUNTS, remainingLosses = LOSSES).let { start ->
            start.copy(sources = start.sources.map { it.copy(ledger = it.ledger.copy(retention = RETENTION)) })
        }
    private var disturbed = HolderFault.NONE
    private var disturbedReporter = 0
    private var disturbedUntil = at(0)
    private var restarts = 0

    /** Runs the schedule and returns the first violation of the rules, or null if there is none. */
    fun run(): String? {
        while (simulation.now < FAULTS_END) {
            restoreIfDue()
            step(allowed().random(random))
            simulation.violation()?.let { return "seed $seed at ${simulation.now}: $it" }
        }
        return runWithoutFaults() ?: findMissingOrWrong()
    }

    private fun allowed() = simulation.transitions(bounds).filter { it.isAllowed() }

    private fun UsageTransition.isAllowed(): Boolean {
        if (simulation.now >= disturbedUntil || !name.endsWith(" $disturbedReporter") || "flush" in name || "source" in name) return true
        return when (disturbed) {
            HolderFault.FROZEN -> false
            HolderFault.CUT_OFF -> "lease" !in name && "report" !in name && "learn" !in name
            else -> true
        }
    }

    private fun step(transition: UsageTransition) {
        val window = UsageWindow.containing(simulation.now).name
        val before = simulation.now
        simulation = transition.apply()
        if (transition.name == "count") counted.merge(window, 1, Long::plus)
        if (simulation.now > before) copies += simulation.now to simulation.store
    }

    private fun restoreIfDue() {
        val due = restores.firstOrNull()?.takeIf { it <= simulation.now } ?: return
        restores.remove(due)
        val newest = simulation.now - random.nextInt(10, 240).seconds
        val copy = copies.lastOrNull { it.first <= newest } ?: return
        val restored = simulation.store.restored(copy.second).at(simulation.now)
        simulation = simulation.copy(store = restored, staleStore = restored)
        disturb(faults.random(random))
    }

    private fun disturb(fault: HolderFault) {
        val holder = simulation.reporters.indexOfFirst { it.lease.held(simulation.now) != null }.coerceAtLeast(0)
        if (fault == HolderFault.RESTARTED) restart(listOf(holder))
        if (fault == HolderFault.ALL_RESTARTED) restart(simulation.reporters.indices.toList())
        disturbed = fault
        disturbedReporter = holder
        disturbedUntil = simulation.now + random.nextInt(10, 200).seconds
    }

    private fun restart(indices: List<Int>) {
        val started =
            simulation.reporters.mapIndexed { index, reporter ->
                if (index !in indices) return@mapIndexed reporter
                val owner = "vm-$index@${++restarts}"
                ReporterProcess(LeaseClaim(UsageKeys.LEASE, owner, TIMES), UsageReporter(TIMES, bounds.gracePeriod))
            }
        simulation = simulation.copy(reporters = started)
    }

    /** Runs until [END] without faults; calls are made as soon as they are due. */
    private fun runWithoutFaults(): String? {
        simulation = simulation.copy(remainingLosses = 0, remainingCounts = 0, lateCalls = emptyList())
        val calm = bounds.copy(end = END, lateCalls = false)
        val names = listOf("learn", "flush", "lease", "report", "arrives", "begin", "lost")
        var steps = 0
        while (simulation.now < END) {
            check(++steps < MAXIMUM_STEPS) { "seed $seed does not settle: ${simulation.transitions(calm).map { it.name }}" }
            val transitions = simulation.transitions(calm)
            val work = names.firstNotNullOfOrNull { name -> transitions.firstOrNull { it.name.startsWith(name) } }
            step(work ?: transitions.first { it.name == "tick" })
            simulation.violation()?.let { return "seed $seed at ${simulation.now}: $it" }
        }
        return null
    }

    /** Every window that begins after the faults is reported, and no report counts more requests than were made. */
    private fun findMissingOrWrong(): String? {
        var window = UsageWindow.containing(FAULTS_END + TIMES.duration * 3)
        while (window.end + bounds.gracePeriod + TIMES.duration * 2 < END) {
            if (window.name !in simulation.reports) return "seed $seed: ${window.name} is not reported"
            window = window.next()
        }
        return simulation.reports.entries.firstNotNullOfOrNull { (name, reports) ->
            val requests = SealedWindow.decode(reports.first()).totals.values.sumOf { it.requests }
            val made = counted[name] ?: 0
            "seed $seed: $name is reported with $requests of $made requests".takeIf { requests > made }
        }
    }

    private companion object {
        fun at(seconds: Int): Instant = Instant.fromEpochSeconds(seconds.toLong())

        // Six times the default times, so that a tick is short compared with a lease.
        val TIMES = LeaseTimes(60.seconds, 18.seconds, 3.seconds, 12.seconds, 5.seconds, 5.seconds, 60.seconds)
        val TICK: Duration = 5.seconds
        val FAULTS_END = at(600)
        val END = at(1200)
        val RETENTION = 240.seconds
        const val COUNTS = 60
        const val LOSSES = 6
        const val MAXIMUM_STEPS = 50_000
    }
}
