/*
 * The protocol by which the holder of the usage role closes, seals and reports windows in order. It makes one call at
 * a time: `next` names it and `answered` takes its answer. Any failure leads back to the cursor in the store, since
 * every step finds out what is already done.
 *
 * A window is closed before its parts are read. Flushes to it are guarded by the absence of that mark, so the parts
 * that a read after the closing shows can never change, and every reporter arrives at the same totals.
 */
package org.ragwortlever.core.usage

import org.ragwortlever.core.lease.HeldLease
import org.ragwortlever.core.lease.LeaseTimes
import org.ragwortlever.core.store.Condition
import org.ragwortlever.core.store.MOST_TRANSACTION_ENTRIES
import org.ragwortlever.core.store.StoreAnswer
import org.ragwortlever.core.store.StoreCall
import org.ragwortlever.core.store.StoreEntry
import org.ragwortlever.core.store.StoreRead
import org.ragwortlever.core.store.Transaction
import org.ragwortlever.core.store.Write
import org.ragwortlever.core.store.committedAt
import org.ragwortlever.core.store.readSince
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** One call of the reporter. */
sealed interface ReporterCall {
    data class ToStore(
        val call: StoreCall,
    ) : ReporterCall

    /** Sends a sealed window, if the lease is still safe to send on right before the write. */
    data class Report(
        val sealed: SealedWindow,
    ) : ReporterCall
}

/** What became of a [ReporterCall]. */
sealed interface ReporterAnswer {
    data class FromStore(
        val answer: StoreAnswer,
    ) : ReporterAnswer

    data object Reported : ReporterAnswer

    /** The report was not sent, or has no answer. */
    data object NotReported : ReporterAnswer
}

/** What the reporter does next. */
sealed interface ReporterStage {
    data object ReadCursor : ReporterStage

    data class StartCursor(
        val first: UsageWindow,
    ) : ReporterStage

    data class ReadSealed(
        val window: UsageWindow,
    ) : ReporterStage

    data class Report(
        val sealed: SealedWindow,
    ) : ReporterStage

    data class MarkReported(
        val window: UsageWindow,
    ) : ReporterStage

    data class ReadClosed(
        val window: UsageWindow,
    ) : ReporterStage

    data class Close(
        val window: UsageWindow,
    ) : ReporterStage

    data class ReadParts(
        val window: UsageWindow,
        val closedRevision: Long,
    ) : ReporterStage

    data class ReadLate(
        val draft: SealedWindow,
        val closedRevision: Long,
    ) : ReporterStage

    /** Reads what the window's totals contain of the first of [missing] late parts. */
    data class ReadFinalPart(
        val draft: SealedWindow,
        val late: List<LatePart>,
        val missing: List<LatePart>,
    ) : ReporterStage

    data class Seal(
        val draft: SealedWindow,
        val late: List<LatePart>,
    ) : ReporterStage
}

/** A late part with what sealed windows contain of it. */
data class LatePart(
    val entry: StoreEntry,
    val part: UsagePart,
    val reported: AccountCounts,
) {
    val window: String get() = entry.key.removePrefix(UsageKeys.LATE_PREFIX).substringBefore('/')
    val source: String get() = entry.key.substringAfterLast('/')
}

/**
 * The reporter in one process.
 *
 * @property fencing number of the lease that the state belongs to; 0 without a lease.
 * @property cursorRevision revision of the cursor's last change.
 */
data class UsageReporter(
    val times: LeaseTimes = LeaseTimes(),
    val gracePeriod: Duration = 30.seconds,
    val fencing: Long = 0,
    val leaseHeldSince: Instant = Instant.DISTANT_PAST,
    val stage: ReporterStage = ReporterStage.ReadCursor,
    val notBefore: Instant = Instant.DISTANT_PAST,
    val cursor: UsageCursor? = null,
    val cursorRevision: Long = 0,
    val windowLength: Duration = UsageWindow.DEFAULT_LENGTH,
) {
    /** Starts anew when the lease changed. */
    fun underLease(
        lease: HeldLease?,
        now: Instant,
    ): UsageReporter {
        val number = lease?.fencing ?: 0
        return if (number == fencing) this else UsageReporter(times, gracePeriod, number, now, windowLength = windowLength)
    }

    /** The call to make now under [lease], or null if there is none to make yet. */
    fun next(
        lease: HeldLease,
        now: Instant,
    ): ReporterCall? {
        if (lease.fencing != fencing || !lease.isInCharge(now) || now < notBefore) return null
        val stage = stage
        // Nodes that could not reach the store need the grace period after its return, too.
        if (stage is ReporterStage.ReadClosed && now < maxOf(stage.window.end, leaseHeldSince) + gracePeriod) return null
        if (stage is ReporterStage.Report) return ReporterCall.Report(stage.sealed).takeIf { lease.isSafeToSend(now, times) }
        return ReporterCall.ToStore(stage.storeCall(Condition.CreatedAt(lease.key, fencing), cursor, cursorRevision))
    }

    /** Takes the answer to the call that [next] named under lease [number]. */
    fun answered(
        answer: ReporterAnswer,
        number: Long,
        now: Instant,
    ): UsageReporter {
        if (number != fencing) return this
        val stage = stage
        if (stage is ReporterStage.Report) {
            val window = UsageWindow.parse(stage.sealed.window, windowLength)
            return if (answer ==
                ReporterAnswer.Reported
            ) {
                advanceTo(ReporterStage.MarkReported(window))
            } else {
                copy(notBefore = now + times.retry)
            }
        }
        val fromStore = (answer as? ReporterAnswer.FromStore)?.answer ?: return restartFromCursor(now)
        if (stage is ReporterStage.ReadCursor) return afterCursorRead(fromStore, now)
        return afterStore(stage, fromStore)?.let(::advanceTo) ?: restartFromCursor(now)
    }

    private fun afterCursorRead(
        answer: StoreAnswer,
        now: Instant,
    ): UsageReporter {
        val entry = (answer.readSince(fencing) ?: return restartFromCursor(now)).entries.firstOrNull()
        if (entry == null) return advanceTo(ReporterStage.StartCursor(UsageWindow.containing(now - windowLength, windowLength)))
        val read = UsageCursor.decode(entry.value)
        val stage =
            if (read.reported != read.sealed) {
                ReporterStage.ReadSealed(UsageWindow.parse(read.reported, windowLength).next())
            } else {
                ReporterStage.ReadClosed(UsageWindow.parse(read.sealed, windowLength).next())
            }
        return copy(cursor = read, cursorRevision = entry.modifyRevision, stage = stage)
    }

    /** The stage after [answer], or null to start again from the cursor. */
    private fun afterStore(
        stage: ReporterStage,
        answer: StoreAnswer,
    ): ReporterStage? =
        when (stage) {
            is ReporterStage.ReadSealed -> {
                answer.readSince(cursorRevision)?.entries?.firstOrNull()?.let { ReporterStage.Report(SealedWindow.decode(it.value)) }
            }
            is ReporterStage.ReadClosed -> {
                answer.readSince(cursorRevision)?.let { afterClosed(stage.window, it) }
            }
            is ReporterStage.Close -> {
                answer.committedAt()?.let { ReporterStage.ReadParts(stage.window, it) }
            }
            is ReporterStage.ReadParts -> {
                answer.readSince(stage.closedRevision)?.let {
                    ReporterStage.ReadLate(draftWindow(stage.window, it.entries), stage.closedRevision)
                }
            }
            is ReporterStage.ReadLate -> {
                answer.readSince(stage.closedRevision)?.let { afterLateRead(stage.draft, it.entries) }
            }
            is ReporterStage.ReadFinalPart -> {
                afterFinalPartRead(stage, answer)
            }
            is ReporterStage.Seal, is ReporterStage.MarkReported, is ReporterStage.StartCursor, is ReporterStage.ReadCursor,
            is ReporterStage.Report,
            -> {
                answer.committedAt()?.let { ReporterStage.ReadCursor }
            }
        }

    private fun afterClosed(
        window: UsageWindow,
        read: StoreRead,
    ): ReporterStage {
        val closed = read.entries.firstOrNull() ?: return ReporterStage.Close(window)
        return ReporterStage.ReadParts(window, closed.createRevision)
    }

    private fun afterLateRead(
        draft: SealedWindow,
        entries: List<StoreEntry>,
    ): ReporterStage {
        val late =
            entries
                .map { entry -> UsagePart.decode(entry.value).let { LatePart(entry, it, it.reported.orEmpty()) } }
                .filter { it.part.reported != it.part.counts }
                .take(MAXIMUM_LATE_PARTS)
        val missing = late.filter { it.part.reported == null }
        return if (missing.isEmpty()) sealStage(draft, late) else ReporterStage.ReadFinalPart(draft, late, missing)
    }

    /** The window of a late part is closed, so its part in the totals is final once the late part exists. */
    private fun afterFinalPartRead(
        stage: ReporterStage.ReadFinalPart,
        answer: StoreAnswer,
    ): ReporterStage? {
        val first = stage.missing.first()
        val read = answer.readSince(first.entry.modifyRevision) ?: return null
        val base = read.entries.firstOrNull()?.let { UsagePart.decode(it.value).counts }.orEmpty()
        val late = stage.late.map { if (it == first) it.copy(reported = base) else it }
        val missing = stage.missing.drop(1)
        return if (missing.isEmpty()) sealStage(stage.draft, late) else ReporterStage.ReadFinalPart(stage.draft, late, missing)
    }

    private fun advanceTo(stage: ReporterStage) = copy(stage = stage, notBefore = Instant.DISTANT_PAST)

    private fun restartFromCursor(now: Instant) = copy(stage = ReporterStage.ReadCursor, notBefore = now + times.retry)
}

private fun draftWindow(
    window: UsageWindow,
    entries: List<StoreEntry>,
): SealedWindow {
    val parts = entries.associate { it.key.substringAfterLast('/') to UsagePart.decode(it.value) }
    val totals = parts.values.fold(emptyMap<String, UsageCounts>()) { sum, part -> sum.plusCounts(part.counts) }
    return SealedWindow(window.name, totals, parts.mapValues { it.value.sequence })
}

private fun sealStage(
    draft: SealedWindow,
    late: List<LatePart>,
): ReporterStage {
    val corrections =
        late
            .groupBy { it.window }
            .mapValues { (_, parts) ->
                parts.fold(emptyMap<String, UsageCounts>()) { sum, one -> sum.plusCounts(one.part.counts.minusCounts(one.reported)) }
            }
            .filterValues { it.isNotEmpty() }
    return ReporterStage.Seal(draft.copy(corrections = corrections), late)
}

private fun ReporterStage.storeCall(
    guard: Condition,
    cursor: UsageCursor?,
    cursorRevision: Long,
): StoreCall =
    when (this) {
        is ReporterStage.ReadCursor -> StoreCall.Read(UsageKeys.CURSOR)
        is ReporterStage.StartCursor -> start(guard)
        is ReporterStage.ReadSealed -> StoreCall.Read(UsageKeys.sealed(window.name))
        is ReporterStage.ReadClosed -> StoreCall.Read(UsageKeys.closed(window.name))
        is ReporterStage.Close -> close(guard)
        is ReporterStage.ReadParts -> StoreCall.Read(UsageKeys.openPrefix(window.name), prefix = true)
        is ReporterStage.ReadLate -> StoreCall.Read(UsageKeys.LATE_PREFIX, prefix = true)
        is ReporterStage.ReadFinalPart -> StoreCall.Read(UsageKeys.open(missing.first().window, missing.first().source))
        is ReporterStage.Seal -> seal(guard, checkNotNull(cursor), cursorRevision)
        is ReporterStage.MarkReported -> moveCursor(guard, checkNotNull(cursor).copy(reported = window.name), cursorRevision)
        is ReporterStage.Report -> error("a report is not a call to the store")
    }

/** Nothing before the first window is reported; it is the one before the first holder of the role got its lease. */
private fun ReporterStage.StartCursor.start(guard: Condition): StoreCall {
    val before = UsageWindow(first.start - first.length).name
    val conditions = listOf(guard, Condition.Absent(UsageKeys.CURSOR))
    return StoreCall.Commit(Transaction(conditions, listOf(Write.Put(UsageKeys.CURSOR, UsageCursor(before, before).encode()))))
}

private fun ReporterStage.Close.close(guard: Condition): StoreCall {
    val key = UsageKeys.closed(window.name)
    return StoreCall.Commit(Transaction(listOf(guard, Condition.Absent(key)), listOf(Write.Put(key, window.name))))
}

private fun ReporterStage.Seal.seal(
    guard: Condition,
    cursor: UsageCursor,
    cursorRevision: Long,
): StoreCall {
    val key = UsageKeys.sealed(draft.window)
    val conditions =
        listOf(guard, Condition.Absent(key), Condition.ModifiedAt(UsageKeys.CURSOR, cursorRevision)) +
            late.map { Condition.ModifiedAt(it.entry.key, it.entry.modifyRevision) }
    val writes =
        listOf(Write.Put(key, draft.encode()), Write.Put(UsageKeys.CURSOR, cursor.copy(sealed = draft.window).encode())) +
            late.map { Write.Put(it.entry.key, it.part.copy(reported = it.part.counts).encode()) }
    return StoreCall.Commit(Transaction(conditions, writes))
}

private fun moveCursor(
    guard: Condition,
    cursor: UsageCursor,
    cursorRevision: Long,
): StoreCall {
    val conditions = listOf(guard, Condition.ModifiedAt(UsageKeys.CURSOR, cursorRevision))
    return StoreCall.Commit(Transaction(conditions, listOf(Write.Put(UsageKeys.CURSOR, cursor.encode()))))
}

// Conditions and writes of a seal beside those of its late parts: the lease, the seal and the cursor.
private const val ENTRIES_PER_SEAL = 5
private const val ENTRIES_PER_LATE_PART = 2

// What does not fit into one transaction is corrected in the next window.
private const val MAXIMUM_LATE_PARTS = (MOST_TRANSACTION_ENTRIES - ENTRIES_PER_SEAL) / ENTRIES_PER_LATE_PART
