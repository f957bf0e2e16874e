/*
 * Protocol by which the holder of the usage lease closes, seals and reports usage windows in order. It makes one call
 * at a time: `next` returns the call and `answered` processes its answer. After a failure it restarts from the cursor in
 * the store; this is safe because every step first checks what has already been done.
 *
 * A window is closed before its parts are read. Flushes are conditional on the absence of the closed key, so parts that
 * are read after the window was closed cannot change any more, and every reporter computes the same totals.
 */
package org.ragwortlever.core.usage

import org.ragwortlever.core.lease.HeldLease
import org.ragwortlever.core.lease.LeaseTimes
import org.ragwortlever.core.store.Condition
import org.ragwortlever.core.store.MAXIMUM_TRANSACTION_ENTRIES
import org.ragwortlever.core.store.StoreAnswer
import org.ragwortlever.core.store.StoreCall
import org.ragwortlever.core.store.StoreEntry
import org.ragwortlever.core.store.StoreRead
import org.ragwortlever.core.store.Transaction
import org.ragwortlever.core.store.Write
import org.ragwortlever.core.store.committedRevision
import org.ragwortlever.core.store.readSince
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Call that the reporter wants to make. */
sealed interface ReporterCall {
    /** Makes [call] to the store. */
    data class ToStore(
        val call: StoreCall,
    ) : ReporterCall

    /** Sends a sealed window to the usage service, provided that the lease still allows it right before the write. */
    data class Report(
        val sealed: SealedWindow,
    ) : ReporterCall
}

/** Result of a [ReporterCall]. */
sealed interface ReporterAnswer {
    /** The store's [answer] to a [ReporterCall.ToStore]. */
    data class FromStore(
        val answer: StoreAnswer,
    ) : ReporterAnswer

    /** The usage service accepted the report. */
    data object Reported : ReporterAnswer

    /** The report was not sent, was not accepted, or got no answer; it is sent again. */
    data object NotReported : ReporterAnswer
}

/** Next step of the reporter. */
sealed interface ReporterStage {
    /** Reads the cursor, which shows the next window to seal or report. */
    data object ReadCursor : ReporterStage

    /** Creates the cursor, so that [first] is the first window to be reported. */
    data class StartCursor(
        val first: UsageWindow,
    ) : ReporterStage

    /** Reads a window that is sealed but not reported. */
    data class ReadSealed(
        val window: UsageWindow,
    ) : ReporterStage

    /** Sends [sealed] to the usage service. */
    data class Report(
        val sealed: SealedWindow,
    ) : ReporterStage

    /** Moves the reported position of the cursor to [window]. */
    data class MarkReported(
        val window: UsageWindow,
    ) : ReporterStage

    /** Reads whether [window] is closed. */
    data class ReadClosed(
        val window: UsageWindow,
    ) : ReporterStage

    /** Closes [window], so that it accepts no more parts. */
    data class Close(
        val window: UsageWindow,
    ) : ReporterStage

    /** Reads the parts of [window] at [closedRevision], the store revision at which it was closed, or later. */
    data class ReadParts(
        val window: UsageWindow,
        val closedRevision: Long,
    ) : ReporterStage

    /** Reads the late parts of all closed windows, for the corrections of [draft]. */
    data class ReadLate(
        val draft: SealedWindow,
        val closedRevision: Long,
    ) : ReporterStage

    /** Reads the counts of the first of the [missing] late parts that the totals of its window already contain. */
    data class ReadFinalPart(
        val draft: SealedWindow,
        val late: List<LatePart>,
        val missing: List<LatePart>,
    ) : ReporterStage

    /** Writes [draft] as a sealed window and marks the counts of the [late] parts as reported. */
    data class Seal(
        val draft: SealedWindow,
        val late: List<LatePart>,
    ) : ReporterStage
}

/** Late part as the store has it; [reported] is the share of its counts that sealed windows already contain. */
data class LatePart(
    val entry: StoreEntry,
    val part: UsagePart,
    val reported: AccountCounts,
) {
    val window: String get() = entry.key.removePrefix(UsageKeys.LATE_PREFIX).substringBefore('/')
    val source: String get() = entry.key.substringAfterLast('/')
}

/**
 * State of the reporter in one process; immutable.
 *
 * @property gracePeriod time after the end of a window, and after this node got the lease, in which nodes may flush
 *   counts before the window is closed.
 * @property fencing fencing token of the lease that this state belongs to; 0 without a lease.
 * @property leaseHeldSince when this node got the lease.
 * @property notBefore earliest time of the next call.
 * @property cursorRevision store revision of the cursor's last change.
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
    /** Returns this state if [lease] is still the lease that it belongs to, and an initial state for [lease] otherwise. */
    fun underLease(
        lease: HeldLease?,
        now: Instant,
    ): UsageReporter {
        val number = lease?.fencing ?: 0
        return if (number == fencing) this else UsageReporter(times, gracePeriod, number, now, windowLength = windowLength)
    }

    /** Returns the call to make now under [lease], or null if none is due yet. */
    fun next(
        lease: HeldLease,
        now: Instant,
    ): ReporterCall? {
        if (lease.fencing != fencing || !lease.isInCharge(now) || now < notBefore) return null
        val stage = stage
        // After a store outage, nodes need the grace period for their flushes as well.
        if (stage is ReporterStage.ReadClosed && now < maxOf(stage.window.end, leaseHeldSince) + gracePeriod) return null
        if (stage is ReporterStage.Report) return ReporterCall.Report(stage.sealed).takeIf { lease.isSafeToSend(now, times) }
        return ReporterCall.ToStore(stage.storeCall(Condition.CreatedAt(lease.key, fencing), cursor, cursorRevision))
    }

    /** Processes the answer to the call that [next] returned under the lease with fencing token [number]. */
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

    /** Returns the stage after [answer], or null to restart from the cursor. */
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
                answer.committedRevision()?.let { ReporterStage.ReadParts(stage.window, it) }
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
                answer.committedRevision()?.let { ReporterStage.ReadCursor }
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

    /** A late part exists only for a closed window, so the open part that was read for its totals is final. */
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
        is ReporterStage.Report -> error("stage Report has no store call: the sealed window is sent to the usage service")
    }

/**
 * Creates the cursor. The first reported window is the one before the window in which the first reporter got the lease;
 * earlier windows are never reported.
 */
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

// Conditions and writes of a seal without late parts: conditions on lease, sealed window and cursor, writes of the last two.
private const val ENTRIES_PER_SEAL = 5
private const val ENTRIES_PER_LATE_PART = 2

// Late parts that do not fit into one transaction are corrected with the next window.
private const val MAXIMUM_LATE_PARTS = (MAXIMUM_TRANSACTION_ENTRIES - ENTRIES_PER_SEAL) / ENTRIES_PER_LATE_PART
