// Nodes that count, a holder of copies, reporters that hold and lose the role, a store and the usage-report interface.
package org.ragwortlever.core.usage

import org.ragwortlever.core.lease.LeaseClaim
import org.ragwortlever.core.lease.LeaseTimes
import org.ragwortlever.core.store.Condition
import org.ragwortlever.core.store.FakeStore
import org.ragwortlever.core.store.StoreAnswer
import org.ragwortlever.core.store.StoreCall
import org.ragwortlever.core.store.StoreFailure
import org.ragwortlever.core.store.Write
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** A mechanism that a run can leave out, to show that the check finds what it guards against. */
internal enum class UsageMechanism { CLOSE_GUARD, STALE_READ_CHECK, CREATE_IF_ABSENT, SEQUENCE_GUARD, OWN_VIEW }

/** [staleReads] lets any read return an older state of the store. */
internal data class UsageBounds(
    val times: LeaseTimes = LeaseTimes(),
    val tick: Duration,
    val end: Instant,
    val staleReads: Boolean,
    val grace: Duration = 30.seconds,
    val without: Set<UsageMechanism> =
        UsageMechanism.entries.filter { it.name in System.getProperty("without").orEmpty().split(',') }.toSet(),
)

internal data class ReporterProcess(
    val lease: LeaseClaim,
    val reporter: UsageReporter,
    val call: StartedReport? = null,
)

/** A call under lease number [fencing]. */
internal data class StartedReport(
    val call: ReporterCall,
    val begun: Instant,
    val fencing: Long,
)

internal data class Source(
    val ledger: UsageLedger,
    val flush: UsageFlush? = null,
    val alive: Boolean = true,
)

internal data class UsageMove(
    val name: String,
    val apply: () -> UsageWorld,
)

internal data class UsageWorld(
    val now: Instant,
    val reporters: List<ReporterProcess>,
    val sources: List<Source>,
    val counts: Int,
    val losses: Int,
    val copies: UsageCopies = UsageCopies(),
    val copyFlush: UsageFlush? = null,
    val store: FakeStore = FakeStore(),
    val stale: FakeStore = store,
    val reports: Map<String, Set<String>> = emptyMap(),
    val problem: String? = null,
) {
    fun violation(): String? = problem ?: reports.entries.firstOrNull { it.value.size > 1 }?.let { "${it.key} has two figures" }

    fun moves(bounds: UsageBounds): List<UsageMove> {
        val tick = move("tick") { copy(now = now + bounds.tick).let { it.copy(store = it.store.at(it.now)) } }
        val snapshot = move("snapshot") { copy(stale = store) }.takeIf { bounds.staleReads && stale.revision != store.revision }
        return listOfNotNull(tick.takeIf { now < bounds.end }, snapshot) +
            reporters.indices.flatMap { leaseMoves(it) + reportMoves(it, bounds) } +
            sources.indices.flatMap { sourceMoves(it, bounds) } + copyMoves(bounds)
    }

    /** All sealed figures, with the corrections added. */
    fun sealedTotals(): AccountCounts =
        store.entries.values
            .filter { it.key.startsWith(UsageKeys.SEALED_PREFIX) }
            .map { SealedWindow.decode(it.value) }
            .flatMap { listOf(it.totals) + it.corrections.values }
            .fold(emptyMap()) { sum, counts -> sum.added(counts) }

    private fun leaseMoves(index: Int): List<UsageMove> {
        val process = reporters[index]
        val call = process.lease.nextCall(now) ?: return emptyList()
        return outcomes("lease $index", call, null) { with(index, process.copy(lease = process.lease.handleAnswer(it, now, now))) }
    }

    private fun reportMoves(
        index: Int,
        bounds: UsageBounds,
    ): List<UsageMove> {
        val held = reporters[index].held(bounds)
        val process = reporters[index].let { it.copy(reporter = it.reporter.under(held, now)) }
        val started = process.call
        if (started == null) {
            val call = held?.let { process.reporter.next(it, now) } ?: return emptyList()
            return listOf(move("begin $index") { with(index, process.copy(call = StartedReport(call, now, held.fencing))) })
        }
        val (call, begun, fencing) = started

        fun UsageWorld.take(answer: ReporterAnswer) =
            with(index, process.copy(call = null, reporter = process.reporter.answered(answer, fencing, now)))
        if (call is ReporterCall.ToStore) {
            return outcomes("report $index", call.call.changed(bounds), bounds) { take(ReporterAnswer.FromStore(it)) }
        }
        val lost = move("lost $index") { copy(losses = losses - 1).take(ReporterAnswer.NotReported) }
        if (now > begun + bounds.times.sendTimeout) return listOf(lost.copy { take(ReporterAnswer.NotReported) })
        val received = received(index, (call as ReporterCall.Report).sealed, bounds)
        val arrives = move("arrives $index") { received.take(ReporterAnswer.Reported) }
        val answerLost = move("lost $index") { received.copy(losses = losses - 1).take(ReporterAnswer.NotReported) }
        return if (losses > 0) listOf(arrives, lost, answerLost) else listOf(arrives)
    }

    private fun received(
        index: Int,
        sealed: SealedWindow,
        bounds: UsageBounds,
    ): UsageWorld {
        val other = reporters.indices.firstOrNull { it != index && reporters[it].held(bounds)?.isInCharge(now) == true }
        val found = other?.let { "reporter $index reported ${sealed.window} while reporter $it was in charge" }
        val figures = reports[sealed.window].orEmpty() + sealed.encode()
        return copy(reports = reports + (sealed.window to figures), problem = problem ?: found)
    }

    private fun sourceMoves(
        index: Int,
        bounds: UsageBounds,
    ): List<UsageMove> {
        val source = sources[index]
        if (!source.alive) return emptyList()
        val count =
            move("count") {
                val ledger = source.ledger.record("account", UsageCounts(1, 2, 3), now)
                with(index, source.copy(ledger = ledger)).copy(counts = counts - 1)
            }.takeIf { counts > 0 }
        val copied =
            source.ledger.copySince(copies.bySource[source.ledger.source]?.values?.maxOfOrNull { it.sequence } ?: 0)?.let { copy ->
                move("copy") { copy(copies = copies.received(copy)) }
            }
        val flush = source.flush
        if (flush == null) {
            val due = source.ledger.flushes().firstOrNull()
            return listOfNotNull(count, copied, due?.let { move("flush $index") { with(index, source.copy(flush = it)) } })
        }
        return listOfNotNull(count, copied) +
            outcomes("flush $index", flush.next().changed(bounds), bounds) { answer ->
                val after = flush.answered(answer)
                val ledger = if (after.isDone) source.ledger.flushed(flush, now) else source.ledger
                with(index, source.copy(ledger = ledger, flush = after.takeUnless { it.isOver }))
            }
    }

    /** The holder of copies may flush a copy at any time: it cannot know whether the source is dead. */
    private fun copyMoves(bounds: UsageBounds): List<UsageMove> {
        val flush = copyFlush
        if (flush == null) {
            val due = copies.bySource.keys.flatMap(copies::flushes).firstOrNull() ?: return emptyList()
            return listOf(move("flush copy") { copy(copyFlush = due) })
        }
        return outcomes("flush copy", flush.next().changed(bounds), bounds) { answer ->
            val after = flush.answered(answer)
            copy(copies = if (after.isDone) copies.flushed(flush) else copies, copyFlush = after.takeUnless { it.isOver })
        }
    }

    private fun outcomes(
        name: String,
        call: StoreCall,
        bounds: UsageBounds?,
        take: UsageWorld.(StoreAnswer) -> UsageWorld,
    ): List<UsageMove> {
        val (after, answer) = store.call(call, now)
        val changes = call !is StoreCall.Read
        val failed = StoreAnswer.Failed(StoreFailure.NoAnswer("lost"))
        val unchecked = UsageMechanism.STALE_READ_CHECK in bounds?.without.orEmpty()
        val old = (stale.call(call, now).second as? StoreAnswer.Found)?.takeIf { bounds?.staleReads == true }
        val oldAnswer = old?.takeIf { unchecked }?.let { StoreAnswer.Found(it.read.copy(revision = Long.MAX_VALUE)) } ?: old
        return listOfNotNull(
            move(name) { copy(store = after).take(answer) },
            oldAnswer?.let { move("stale $name") { take(it) } },
            move("lost $name") { copy(losses = losses - 1).take(failed) }.takeIf { losses > 0 },
            move("lost $name") { copy(store = after, losses = losses - 1).take(failed) }.takeIf { losses > 0 && changes },
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

    private fun move(
        name: String,
        apply: () -> UsageWorld,
    ) = UsageMove(name, apply)

    private fun UsageMove.copy(apply: () -> UsageWorld) = UsageMove(name, apply)

    private fun with(
        index: Int,
        process: ReporterProcess,
    ) = copy(reporters = reporters.toMutableList().apply { set(index, process) })

    private fun with(
        index: Int,
        source: Source,
    ) = copy(sources = sources.toMutableList().apply { set(index, source) })

    companion object {
        /** Window 0 is the first to be reported. */
        fun start(
            bounds: UsageBounds,
            now: Instant,
            sources: Int,
            counts: Int,
            losses: Int,
        ): UsageWorld {
            val before = UsageWindow(Instant.fromEpochSeconds(-60)).name
            val cursor = Write.Put(UsageKeys.CURSOR, UsageCursor(before, before).encode())
            val store = FakeStore().call(StoreCall.Commit(org.ragwortlever.core.store.Transaction(emptyList(), listOf(cursor))), now).first
            val reporters =
                List(2) { ReporterProcess(LeaseClaim(UsageKeys.LEASE, "vm-$it", bounds.times), UsageReporter(bounds.times, bounds.grace)) }
            return UsageWorld(now, reporters, List(sources) { Source(UsageLedger("node-$it@1")) }, counts, losses, store = store)
        }
    }
}
