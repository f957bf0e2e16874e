// Simulation of usage reporting: counting nodes, a holder of copies, reporters that get and lose the lease, the store and
// the usage service. Each transition returns a new state, so that schedules can be explored or drawn at random.
package org.ragwortlever.core.usage

import org.ragwortlever.core.lease.LeaseClaim
import org.ragwortlever.core.lease.LeaseTimes
import org.ragwortlever.core.store.Condition
import org.ragwortlever.core.store.FakeStore
import org.ragwortlever.core.store.StoreAnswer
import org.ragwortlever.core.store.StoreCall
import org.ragwortlever.core.store.StoreFailure
import org.ragwortlever.core.store.Write
import org.ragwortlever.core.store.inEpoch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Safety mechanism that a run can disable with -Dwithout=NAME, to show that the check detects its absence. */
internal enum class UsageMechanism { CLOSE_GUARD, STALE_READ_CHECK, CREATE_IF_ABSENT, SEQUENCE_GUARD, OWN_VIEW }

/**
 * Limits of a simulation.
 *
 * @property staleReads whether a read may return an older state of the store.
 * @property lateCalls whether a commit whose answer was lost may be executed at any later time.
 * @property without mechanisms that are disabled.
 */
internal data class UsageBounds(
    val times: LeaseTimes = LeaseTimes(),
    val tick: Duration,
    val end: Instant,
    val staleReads: Boolean,
    val lateCalls: Boolean = false,
    val gracePeriod: Duration = 30.seconds,
    val without: Set<UsageMechanism> =
        UsageMechanism.entries.filter { it.name in System.getProperty("without").orEmpty().split(',') }.toSet(),
)

/**
 * Process that competes for the lease and reports while it holds it.
 *
 * @property epoch newest epoch of the store that the process knows; its claim enters it with the next step.
 */
internal data class ReporterProcess(
    val lease: LeaseClaim,
    val reporter: UsageReporter,
    val call: PendingCall? = null,
    val epoch: Long = 0,
)

/** Call that was started under the lease with token [fencing] and has no answer yet. */
internal data class PendingCall(
    val call: ReporterCall,
    val startedAt: Instant,
    val fencing: Long,
)

/** Node that counts usage and flushes it. */
internal data class Source(
    val ledger: UsageLedger,
    val flush: UsageFlush? = null,
    val isAlive: Boolean = true,
)

/** Fencing token of a report, and the index of the reporter that sent it. */
internal data class SentToken(
    val reporter: Int,
    val token: Long,
)

/** Possible next event; [apply] returns the state after it. */
internal data class UsageTransition(
    val name: String,
    val apply: () -> UsageSimulation,
)

/**
 * State of a simulation.
 *
 * @property remainingCounts how many more requests may be counted.
 * @property remainingLosses how many more messages may be lost.
 * @property staleStore older state of the store that a stale read returns.
 * @property lateCalls commits without an answer that may still be executed.
 * @property reports distinct reports that the usage service received, by window.
 * @property lastToken fencing token of the last report that arrived.
 * @property problem first violation that was found when an event was applied.
 */
internal data class UsageSimulation(
    val now: Instant,
    val reporters: List<ReporterProcess>,
    val sources: List<Source>,
    val remainingCounts: Int,
    val remainingLosses: Int,
    val copies: UsageCopies = UsageCopies(),
    val copyFlush: UsageFlush? = null,
    val store: FakeStore = FakeStore(),
    val staleStore: FakeStore = store,
    val lateCalls: List<StoreCall> = emptyList(),
    val reports: Map<String, Set<String>> = emptyMap(),
    val lastToken: SentToken? = null,
    val problem: String? = null,
) {
    /** Describes the first violation of the rules, or returns null if there is none. */
    fun violation(): String? = problem ?: reports.entries.firstOrNull { it.value.size > 1 }?.let { "window ${it.key} has two totals" }

    fun transitions(bounds: UsageBounds): List<UsageTransition> {
        val tick = transition("tick") { copy(now = now + bounds.tick).let { it.copy(store = it.store.at(it.now)) } }
        val snapshot = transition("snapshot") { copy(staleStore = store) }.takeIf {
            bounds.staleReads &&
                staleStore.revision != store.revision
        }
        return listOfNotNull(tick.takeIf { now < bounds.end }, snapshot) +
            reporters.indices.flatMap { leaseTransitions(it) + reportTransitions(it, bounds) } +
            sources.indices.flatMap { sourceTransitions(it, bounds) } + copyTransitions(bounds) + lateTransitions()
    }

    /** Sums the totals and corrections of all sealed windows. */
    fun sealedTotals(): AccountCounts =
        store.entries.values
            .filter { it.key.startsWith(UsageKeys.SEALED_PREFIX) }
            .map { SealedWindow.decode(it.value) }
            .flatMap { listOf(it.totals) + it.corrections.values }
            .fold(emptyMap()) { sum, counts -> sum.plusCounts(counts) }

    private fun leaseTransitions(index: Int): List<UsageTransition> {
        val process = reporters[index]
        val entered = process.lease.inEpoch(process.epoch, now)
        val learn =
            transition("learn reporter $index") {
                with(index, process.copy(epoch = store.epoch, lease = process.lease.inEpoch(store.epoch, now)))
            }.takeIf { process.lease.epoch < store.epoch }
        val call = entered.nextCall(now) ?: return listOfNotNull(learn)
        return listOfNotNull(learn) +
            outcomes("lease $index", call, null, process.epoch) { answer, epoch ->
                val after = if (epoch == process.epoch) entered.handleAnswer(answer, now, now) else entered
                with(index, process.copy(lease = after, epoch = epoch))
            }
    }

    private fun reportTransitions(
        index: Int,
        bounds: UsageBounds,
    ): List<UsageTransition> {
        val held = reporters[index].held(bounds)
        val process = reporters[index].let { it.copy(reporter = it.reporter.inEpoch(it.epoch, now).underLease(held, now)) }
        val started = process.call
        if (started == null) {
            val call = held?.let { process.reporter.next(it, now) } ?: return emptyList()
            return listOf(transition("begin $index") { with(index, process.copy(call = PendingCall(call, now, held.fencing))) })
        }
        val (call, startedAt, fencing) = started

        fun UsageSimulation.take(
            answer: ReporterAnswer,
            known: Long = process.epoch,
        ) = with(index, process.copy(call = null, reporter = process.reporter.answered(answer, fencing, now), epoch = known))
        if (call is ReporterCall.ToStore) {
            return outcomes("report $index", call.call.changed(bounds), bounds, process.epoch) { answer, epoch ->
                take(ReporterAnswer.FromStore(answer), epoch)
            }
        }
        val lost = transition("lost $index") { copy(remainingLosses = remainingLosses - 1).take(ReporterAnswer.NotReported) }
        if (now > startedAt + bounds.times.sendTimeout) return listOf(lost.copy { take(ReporterAnswer.NotReported) })
        val received = received(SentToken(index, fencing), (call as ReporterCall.Report).sealed, bounds)
        val arrives = transition("arrives $index") { received.take(ReporterAnswer.Reported) }
        val answerLost = transition("lost $index") { received.copy(remainingLosses = remainingLosses - 1).take(ReporterAnswer.NotReported) }
        return if (remainingLosses > 0) listOf(arrives, lost, answerLost) else listOf(arrives)
    }

    private fun received(
        sent: SentToken,
        sealed: SealedWindow,
        bounds: UsageBounds,
    ): UsageSimulation {
        val index = sent.reporter
        val other = reporters.indices.firstOrNull { it != index && reporters[it].held(bounds)?.isInCharge(now) == true }
        val found = other?.let { "reporter $index reported ${sealed.window} while reporter $it was in charge" }
        val figures = reports[sealed.window].orEmpty() + sealed.encode()
        return copy(
            reports = reports + (sealed.window to figures),
            lastToken = sent,
            problem = problem ?: found ?: lastToken?.let { tokenProblem(it, sent) },
        )
    }

    private fun tokenProblem(
        before: SentToken,
        after: SentToken,
    ): String? =
        when {
            after.token < before.token -> "token ${after.token} was sent after ${before.token}"
            after.token == before.token && after.reporter != before.reporter -> "two reporters sent token ${after.token}"
            else -> null
        }

    private fun lateTransitions(): List<UsageTransition> =
        lateCalls.indices.map { index ->
            transition("late call") {
                copy(store = store.call(lateCalls[index].inEpoch(store.epoch), now).first, lateCalls = lateCalls.drop(index + 1))
            }
        }

    private fun sourceTransitions(
        index: Int,
        bounds: UsageBounds,
    ): List<UsageTransition> {
        val source = sources[index]
        if (!source.isAlive) return emptyList()
        val count =
            transition("count") {
                val ledger = source.ledger.record("account", UsageCounts(1, 2, 3), now)
                with(index, source.copy(ledger = ledger)).copy(remainingCounts = remainingCounts - 1)
            }.takeIf { remainingCounts > 0 }
        val copied =
            source.ledger.copySince(copies.bySource[source.ledger.source]?.values?.maxOfOrNull { it.sequence } ?: 0)?.let { copy ->
                transition("copy") { copy(copies = copies.merge(copy)) }
            }
        val learn =
            transition("learn source $index") {
                with(index, source.copy(ledger = source.ledger.inEpoch(store.epoch)))
            }.takeIf { source.ledger.epoch < store.epoch }
        val flush = source.flush
        if (flush == null) {
            val due = source.ledger.dueFlushes().firstOrNull()
            return listOfNotNull(count, copied, learn, due?.let { transition("flush $index") { with(index, source.copy(flush = it)) } })
        }
        return listOfNotNull(count, copied, learn) +
            outcomes("flush $index", flush.next().changed(bounds), bounds, source.ledger.epoch) { answer, epoch ->
                val after = flush.answered(answer)
                val ledger = if (after.isDone) source.ledger.markFlushed(after, now) else source.ledger
                with(index, source.copy(ledger = ledger.inEpoch(epoch), flush = after.takeUnless { it.isFinished }))
            }
    }

    /** The holder of copies may flush a copy at any time, because it cannot know whether the source is dead. */
    private fun copyTransitions(bounds: UsageBounds): List<UsageTransition> {
        val flush = copyFlush
        if (flush == null) {
            val due = copies.bySource.keys.flatMap(copies::flushes).firstOrNull() ?: return emptyList()
            return listOf(transition("flush copy") { copy(copyFlush = due) })
        }
        return outcomes("flush copy", flush.next().changed(bounds), bounds, store.epoch) { answer, _ ->
            val after = flush.answered(answer)
            copy(copies = if (after.isDone) copies.removeFlushed(flush) else copies, copyFlush = after.takeUnless { it.isFinished })
        }
    }

    /** Returns the outcomes of [call]; `take` gets the answer and the newest epoch of the store that the caller knows then. */
    private fun outcomes(
        name: String,
        call: StoreCall,
        bounds: UsageBounds?,
        known: Long,
        take: UsageSimulation.(StoreAnswer, Long) -> UsageSimulation,
    ): List<UsageTransition> {
        val (after, answer) = store.callFrom(known, call, now)
        val changes = call !is StoreCall.Read
        val failed = StoreAnswer.Failed(StoreFailure.NoAnswer("lost"))
        val unchecked = UsageMechanism.STALE_READ_CHECK in bounds?.without.orEmpty()
        val staleAnswer = (staleStore.call(call, now).second as? StoreAnswer.Found)?.takeIf { bounds?.staleReads == true }
        val uncheckedAnswer =
            staleAnswer?.takeIf { unchecked }?.let { StoreAnswer.Found(it.read.copy(revision = Long.MAX_VALUE)) } ?: staleAnswer
        return listOfNotNull(
            transition(name) { copy(store = after).take(answer, store.epoch) },
            uncheckedAnswer?.let { transition("stale $name") { take(it, known) } },
            transition("lost $name") { copy(remainingLosses = remainingLosses - 1).take(failed, known) }.takeIf { remainingLosses > 0 },
            transition("lost $name") { copy(store = after, remainingLosses = remainingLosses - 1).take(failed, known) }.takeIf {
                remainingLosses >
                    0 &&
                    changes
            },
            transition("delayed $name") {
                copy(lateCalls = lateCalls + call, remainingLosses = remainingLosses - 1).take(failed, known)
            }.takeIf {
                bounds?.lateCalls == true && call is StoreCall.Commit && remainingLosses > 0
            },
        )
    }

    private fun StoreCall.changed(bounds: UsageBounds): StoreCall {
        val transaction = (this as? StoreCall.Commit)?.transaction ?: return this
        val sealing = transaction.writes.any { it.key.startsWith(UsageKeys.SEALED_PREFIX) }
        val kept =
            transaction.conditions.filterNot { condition ->
                (UsageMechanism.CLOSE_GUARD in bounds.without && condition is Condition.Absent && "/closed/" in condition.key) ||
                    (UsageMechanism.CREATE_IF_ABSENT in bounds.without && sealing) ||
                    (UsageMechanism.SEQUENCE_GUARD in bounds.without && ("/open/" in condition.key || "/late/" in condition.key))
            }
        return StoreCall.Commit(transaction.copy(conditions = kept))
    }

    private fun ReporterProcess.held(bounds: UsageBounds) =
        if (UsageMechanism.OWN_VIEW in bounds.without) {
            (lease.stage as? org.ragwortlever.core.lease.LeaseStage.Holding)?.held?.copy(until = Instant.DISTANT_FUTURE)
        } else {
            lease.held(now)
        }

    private fun transition(
        name: String,
        apply: () -> UsageSimulation,
    ) = UsageTransition(name, apply)

    private fun UsageTransition.copy(apply: () -> UsageSimulation) = UsageTransition(name, apply)

    private fun with(
        index: Int,
        process: ReporterProcess,
    ) = copy(reporters = reporters.toMutableList().apply { set(index, process) })

    private fun with(
        index: Int,
        source: Source,
    ) = copy(sources = sources.toMutableList().apply { set(index, source) })

    companion object {
        /** Returns the initial state, in which the first window to be reported starts at the epoch. */
        fun start(
            bounds: UsageBounds,
            now: Instant,
            sources: Int,
            remainingCounts: Int,
            remainingLosses: Int,
        ): UsageSimulation {
            val before = UsageWindow(Instant.fromEpochSeconds(-60)).name
            val cursor = Write.Put(UsageKeys.CURSOR, UsageCursor(before, before).encode())
            val store = FakeStore().call(StoreCall.Commit(org.ragwortlever.core.store.Transaction(emptyList(), listOf(cursor))), now).first
            val reporters =
                List(2) {
                    ReporterProcess(LeaseClaim(UsageKeys.LEASE, "vm-$it", bounds.times), UsageReporter(bounds.times, bounds.gracePeriod))
                }
            return UsageSimulation(
                now,
                reporters,
                List(sources) {
                    Source(UsageLedger("node-$it@1"))
                },
                remainingCounts,
                remainingLosses,
                store = store,
            )
        }
    }
}
