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
import org.ragwortlever.core.store.StoreAnswer
import org.ragwortlever.core.store.StoreEntry
import org.ragwortlever.core.store.StoreRead
import org.ragwortlever.core.store.committedRevision
import org.ragwortlever.core.store.readSince
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

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
