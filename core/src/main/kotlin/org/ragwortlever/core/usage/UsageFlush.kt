/*
 * Writes one usage part of one source to the store, one store call at a time. Any node that has the counts may write
 * them: counts are cumulative and the higher sequence wins, so it is safe if both the source and the node that holds
 * its copy write.
 */
package org.ragwortlever.core.usage

import org.ragwortlever.core.store.Condition
import org.ragwortlever.core.store.StoreAnswer
import org.ragwortlever.core.store.StoreCall
import org.ragwortlever.core.store.Transaction
import org.ragwortlever.core.store.Write
import org.ragwortlever.core.store.committedRevision
import org.ragwortlever.core.store.readSince

/** Next step of a flush, or its result. */
enum class FlushStage { READ_OPEN, WRITE_OPEN, READ_CLOSED, READ_FINAL, READ_LATE, WRITE_LATE, DONE, FAILED }

/**
 * Flush of [part], the counts of [source] in [window]. A closed window accepts no more parts, so counts that arrive
 * later are written as a late part, which the reporter turns into a correction.
 *
 * @property storedRevision store revision of the part; 0 if the store has none. Once the flush is done, that of the entry that
 *   holds the counts.
 * @property reported counts of the late part that sealed windows already contain, as read from the store.
 * @property conflicts number of writes so far whose conditions failed.
 * @property closedRevision store revision at which the window was closed; 0 until it is known.
 */
data class UsageFlush(
    val window: String,
    val source: String,
    val part: UsagePart,
    val stage: FlushStage = FlushStage.READ_OPEN,
    val storedRevision: Long = 0,
    val reported: AccountCounts? = null,
    val conflicts: Int = 0,
    val closedRevision: Long = 0,
) {
    /** Whether no more calls follow. */
    val isFinished: Boolean get() = isDone || stage == FlushStage.FAILED

    /** Whether the store has this part or one with a higher sequence. */
    val isDone: Boolean get() = stage == FlushStage.DONE

    /** Returns the store call to make; throws [IllegalStateException] if the flush is finished. */
    fun next(): StoreCall =
        when (stage) {
            FlushStage.READ_OPEN -> StoreCall.Read(UsageKeys.open(window, source))
            FlushStage.WRITE_OPEN -> write(UsageKeys.open(window, source), listOf(Condition.Absent(UsageKeys.closed(window))))
            FlushStage.READ_FINAL -> StoreCall.Read(UsageKeys.open(window, source))
            FlushStage.READ_CLOSED -> StoreCall.Read(UsageKeys.closed(window))
            FlushStage.READ_LATE -> StoreCall.Read(UsageKeys.late(window, source))
            FlushStage.WRITE_LATE -> write(UsageKeys.late(window, source), emptyList())
            FlushStage.DONE, FlushStage.FAILED -> error("the flush is finished and has no next call")
        }

    /** Returns the flush after [answer] to the call that [next] returned. */
    fun answered(answer: StoreAnswer): UsageFlush =
        when (stage) {
            FlushStage.READ_OPEN -> afterRead(answer, FlushStage.WRITE_OPEN)
            FlushStage.READ_LATE -> afterRead(answer, FlushStage.WRITE_LATE)
            FlushStage.READ_FINAL -> afterFinal(answer)
            FlushStage.READ_CLOSED -> afterClosed(answer)
            FlushStage.WRITE_OPEN -> afterWrite(answer, FlushStage.READ_CLOSED)
            FlushStage.WRITE_LATE -> afterWrite(answer, FlushStage.READ_LATE)
            FlushStage.DONE, FlushStage.FAILED -> this
        }

    private fun afterRead(
        answer: StoreAnswer,
        write: FlushStage,
    ): UsageFlush {
        if (answer !is StoreAnswer.Found) return copy(stage = FlushStage.FAILED)
        val entry = answer.read.entries.firstOrNull() ?: return copy(stage = write, storedRevision = 0, reported = null)
        val stored = UsagePart.decode(entry.value)
        if (stored.sequence >= part.sequence) return copy(stage = FlushStage.DONE, storedRevision = entry.modifyRevision)
        return copy(stage = write, storedRevision = entry.modifyRevision, reported = stored.reported)
    }

    /** A late part may exist only for a closed window: the reporter relies on the open part in the totals being final. */
    private fun afterClosed(answer: StoreAnswer): UsageFlush =
        when {
            answer !is StoreAnswer.Found -> copy(stage = FlushStage.FAILED)
            answer.read.entries.isEmpty() -> copy(stage = FlushStage.READ_OPEN)
            else -> copy(stage = FlushStage.READ_FINAL, closedRevision = answer.read.entries.first().createRevision)
        }

    /**
     * Another writer may have flushed a higher sequence before the window was closed. A late part with lower counts would
     * become a negative correction, so none is written.
     */
    private fun afterFinal(answer: StoreAnswer): UsageFlush {
        val read = answer.readSince(closedRevision) ?: return copy(stage = FlushStage.FAILED)
        val final = read.entries.firstOrNull()
        val isStored = final != null && UsagePart.decode(final.value).sequence >= part.sequence
        return if (isStored) copy(stage = FlushStage.DONE, storedRevision = final.modifyRevision) else copy(stage = FlushStage.READ_LATE)
    }

    /** A failed condition means that the window was closed or another writer changed the part, so both are read again. */
    private fun afterWrite(
        answer: StoreAnswer,
        onConflict: FlushStage,
    ): UsageFlush {
        val committed = answer.committedRevision()
        return when {
            committed != null -> copy(stage = FlushStage.DONE, storedRevision = committed)
            answer is StoreAnswer.Failed || conflicts == MAXIMUM_CONFLICTS -> copy(stage = FlushStage.FAILED)
            else -> copy(stage = onConflict, conflicts = conflicts + 1)
        }
    }

    private fun write(
        key: String,
        guards: List<Condition>,
    ): StoreCall {
        val unchanged = if (storedRevision == 0L) Condition.Absent(key) else Condition.ModifiedAt(key, storedRevision)
        val value = part.copy(reported = reported).encode()
        return StoreCall.Commit(Transaction(guards + unchanged, listOf(Write.Put(key, value))))
    }

    private companion object {
        // After this many write conflicts the flush fails; it is tried again at the next flush interval.
        const val MAXIMUM_CONFLICTS = 6
    }
}
