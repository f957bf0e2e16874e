/*
 * Protocol by which the holder of the usage lease closes, seals and reports usage windows in order. It makes one call
 * at a time: `next` returns the call and `answered` processes its answer. After a failure it restarts from the cursor in
 * the store; this is safe because every step first checks what has already been done.
 *
 * A window is closed before its parts are read. Flushes are conditional on the absence of the closed key, so parts that
 * are read after the window was closed cannot change any more, and every reporter computes the same totals.
 *
 * All of this relies on what the store has acknowledged. A store that comes back from an older copy may have lost the cursor,
 * seals and parts, so a window could be sealed again with other totals. In a new epoch of the store the reporter therefore
 * first restores the cursor: from its own memory if it was the reporter until then, else to the time at which it learned of the
 * epoch, which leaves out windows that the one before it may have reported.
 */
package org.ragwortlever.core.usage

import org.ragwortlever.core.lease.HeldLease
import org.ragwortlever.core.lease.LeaseTimes
import org.ragwortlever.core.store.Condition
import org.ragwortlever.core.store.StoreAnswer
import org.ragwortlever.core.store.StoreEntry
import org.ragwortlever.core.store.StoreRead
import org.ragwortlever.core.store.committedRevision
import org.ragwortlever.core.store.epochOf
import org.ragwortlever.core.store.readSince
import org.ragwortlever.core.store.revision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * What this process knew of the windows under an earlier lease.
 *
 * @property fencing fencing token of that lease, or of the present one if it continues that one.
 * @property pending the window that is sealed and perhaps reported; null if this process has neither sealed nor read it.
 */
data class ReporterMemory(
    val fencing: Long,
    val cursor: UsageCursor,
    val pending: SealedWindow?,
)

/**
 * State of the reporter in one process; immutable.
 *
 * @property gracePeriod time in which nodes may flush counts before a window is closed: after the end of the window, after this
 *   node got the lease, and after the nodes have had the duration of a lease to learn of a new epoch of the store.
 * @property fencing fencing token of the lease that this state belongs to; 0 without a lease.
 * @property leaseHeldSince when this node got the lease.
 * @property notBefore earliest time of the next call.
 * @property cursorRevision store revision of the cursor's last change; 0 if the store has no cursor.
 * @property pending the last window that this reporter has sealed or read as sealed.
 * @property memory what this process knew under an earlier lease. Under a lease that continues that one, nobody else has
 *   reported since.
 * @property knownEpoch newest epoch of the store that this process knows.
 * @property epochSince when this process learned of [knownEpoch]; the store came back at that time or earlier.
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
    val pending: SealedWindow? = null,
    val memory: ReporterMemory? = null,
    val knownEpoch: Long = 0,
    val epochSince: Instant = Instant.DISTANT_PAST,
) {
    private val leaseEpoch: Long get() = epochOf(fencing)

    /** Returns this state after the process has learned that [newest] is the newest epoch of the store. */
    fun inEpoch(
        newest: Long,
        now: Instant,
    ): UsageReporter = if (newest == knownEpoch) this else copy(knownEpoch = newest, epochSince = now)

    /** Returns this state if [lease] is still the lease that it belongs to, and an initial state for [lease] otherwise. */
    fun underLease(
        lease: HeldLease?,
        now: Instant,
    ): UsageReporter {
        val number = lease?.fencing ?: 0
        if (number == fencing) return this
        val remembered = currentMemory()?.takeIf { lease == null || it.fencing == lease.continues }
        return UsageReporter(
            times,
            gracePeriod,
            number,
            now,
            windowLength = windowLength,
            memory = if (lease == null) remembered else remembered?.copy(fencing = number),
            knownEpoch = knownEpoch,
            epochSince = epochSince,
        )
    }

    /** A cursor of an earlier epoch is not remembered: the store may have lost later ones. */
    private fun currentMemory(): ReporterMemory? {
        val known = cursor?.takeIf { fencing != 0L && it.epoch == leaseEpoch } ?: return memory
        return ReporterMemory(fencing, known, pending?.takeIf { it.window == known.sealed })
    }

    /**
     * Returns the call to make at [now] under [lease], or null if none is due yet.
     *
     * @param leaseTime the same moment by the clock of the lease.
     */
    fun next(
        lease: HeldLease,
        now: Instant,
        leaseTime: Instant = now,
    ): ReporterCall? {
        if (lease.fencing != fencing || !lease.isInCharge(leaseTime) || now < notBefore) return null
        val stage = stage
        // After an outage of the store, nodes need the grace period for their flushes as well, and in a new epoch of the store
        // they first have to learn of it.
        val partsFrom = maxOf(leaseHeldSince, epochSince + times.duration)
        if (stage is ReporterStage.ReadClosed && now < maxOf(stage.window.end, partsFrom) + gracePeriod) return null
        if (stage is ReporterStage.Report) return ReporterCall.Report(stage.sealed).takeIf { lease.isSafeToSend(leaseTime, times) }
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
        // The lease ended with its epoch, and what the store shows now may be older than what is known.
        if (fromStore.revision()?.let { epochOf(it) != leaseEpoch } == true) return restartFromCursor(now)
        if (stage is ReporterStage.ReadCursor) return afterCursorRead(fromStore, now)
        val next = afterStore(stage, fromStore) ?: return restartFromCursor(now)
        return copy(pending = sealedBy(stage, next) ?: pending).advanceTo(next)
    }

    private fun sealedBy(
        stage: ReporterStage,
        next: ReporterStage,
    ): SealedWindow? =
        when {
            stage is ReporterStage.Seal -> stage.draft
            stage is ReporterStage.RestoreCursor -> stage.pending
            next is ReporterStage.Report -> next.sealed
            else -> null
        }

    private fun afterCursorRead(
        answer: StoreAnswer,
        now: Instant,
    ): UsageReporter {
        val entry = (answer.readSince(fencing) ?: return restartFromCursor(now)).entries.firstOrNull()
        val read = entry?.let { UsageCursor.decode(it.value) }
        val revision = entry?.modifyRevision ?: 0
        if ((read?.epoch ?: 0) < leaseEpoch) return beforeRestore(read, revision)
        if (read == null) return advanceTo(ReporterStage.StartCursor(UsageWindow.containing(now - windowLength, windowLength)))
        val stage =
            if (read.reported != read.sealed) {
                ReporterStage.ReadSealed(UsageWindow.parse(read.reported, windowLength).next())
            } else {
                ReporterStage.ReadClosed(UsageWindow.parse(read.sealed, windowLength).next())
            }
        return copy(cursor = read, cursorRevision = revision, stage = stage)
    }

    /**
     * Continues with the cursor [read] of an earlier epoch. Without a memory, a window that is sealed in the store is reported
     * first, if the cursor is of the last epoch: it was only ever sealed with these totals. In a copy from an epoch before that
     * one it may have been sealed again meanwhile.
     */
    private fun beforeRestore(
        read: UsageCursor?,
        revision: Long,
    ): UsageReporter {
        val known = copy(cursor = read, cursorRevision = revision)
        val remembered = memory
        return when {
            remembered != null -> {
                val restored = rememberedCursor(remembered.cursor, read)
                val pending = remembered.pending?.takeIf { it.window == restored.sealed }
                known.advanceTo(ReporterStage.RestoreCursor(restored, pending, isRemembered = true))
            }
            read != null && read.epoch == leaseEpoch - 1 && read.reported != read.sealed -> {
                known.advanceTo(ReporterStage.ReadSealed(UsageWindow.parse(read.reported, windowLength).next()))
            }
            else -> {
                known.advanceTo(ReporterStage.RestoreCursor(cursorAtRestore(read), pending = null, isRemembered = false))
            }
        }
    }

    /** The store may have more than this process remembers, if an answer was lost before the store came back. */
    private fun rememberedCursor(
        remembered: UsageCursor,
        read: UsageCursor?,
    ): UsageCursor {
        if (read == null) return remembered.copy(epoch = leaseEpoch)
        return UsageCursor(laterWindow(remembered.sealed, read.sealed), laterWindow(remembered.reported, read.reported), leaseEpoch)
    }

    private fun laterWindow(
        first: String,
        second: String,
    ) = listOf(first, second).maxBy { UsageWindow.parse(it, windowLength).start }

    /**
     * Returns a cursor from which the window that contains [epochSince] is the next one, or the window after [read] if that is
     * later. No window that ended after the store had come back was sealed before that, so none was reported.
     */
    private fun cursorAtRestore(read: UsageCursor?): UsageCursor {
        val before = UsageWindow.containing(epochSince - windowLength, windowLength).name
        val last = if (read == null) before else laterWindow(before, read.sealed)
        return UsageCursor(last, last, leaseEpoch)
    }

    /** Returns the stage after [answer], or null to restart from the cursor. */
    private fun afterStore(
        stage: ReporterStage,
        answer: StoreAnswer,
    ): ReporterStage? =
        when (stage) {
            is ReporterStage.ReadSealed -> {
                answer.readSince(cursorRevision)?.let { afterSealedRead(stage.window, it) }
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
            is ReporterStage.Seal, is ReporterStage.MarkReported, is ReporterStage.StartCursor, is ReporterStage.RestoreCursor,
            is ReporterStage.ReadCursor, is ReporterStage.Report,
            -> {
                answer.committedRevision()?.let { ReporterStage.ReadCursor }
            }
        }

    /** The store may have lost the totals of a sealed window. It may have been reported with them, so it is not reported again. */
    private fun afterSealedRead(
        window: UsageWindow,
        read: StoreRead,
    ): ReporterStage {
        val sealed = read.entries.firstOrNull() ?: return ReporterStage.MarkReported(window)
        return ReporterStage.Report(SealedWindow.decode(sealed.value))
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
