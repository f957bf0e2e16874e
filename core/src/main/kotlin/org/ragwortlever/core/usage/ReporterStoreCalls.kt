// Calls to the store by which the reporter of usage windows goes from one stage to the next.
package org.ragwortlever.core.usage

import org.ragwortlever.core.store.Condition
import org.ragwortlever.core.store.MAXIMUM_TRANSACTION_ENTRIES
import org.ragwortlever.core.store.StoreCall
import org.ragwortlever.core.store.Transaction
import org.ragwortlever.core.store.Write

/**
 * Returns the call to the store that this stage makes.
 *
 * @param guard condition that the lease of the reporter is still the current one.
 * @param cursorRevision store revision at which [cursor] was read.
 */
internal fun ReporterStage.storeCall(
    guard: Condition,
    cursor: UsageCursor?,
    cursorRevision: Long,
): StoreCall =
    when (this) {
        is ReporterStage.ReadCursor -> StoreCall.Read(UsageKeys.CURSOR)
        is ReporterStage.StartCursor -> start(guard)
        is ReporterStage.RestoreCursor -> restore(guard, cursorRevision)
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

private fun ReporterStage.RestoreCursor.restore(
    guard: Condition,
    cursorRevision: Long,
): StoreCall {
    val isUnchanged =
        if (cursorRevision == 0L) Condition.Absent(UsageKeys.CURSOR) else Condition.ModifiedAt(UsageKeys.CURSOR, cursorRevision)
    val writes =
        listOfNotNull(
            Write.Put(UsageKeys.CURSOR, cursor.encode()),
            pending?.let { Write.Put(UsageKeys.sealed(it.window), it.encode()) },
        )
    return StoreCall.Commit(Transaction(listOf(guard, isUnchanged), writes))
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
internal const val MAXIMUM_LATE_PARTS = (MAXIMUM_TRANSACTION_ENTRIES - ENTRIES_PER_SEAL) / ENTRIES_PER_LATE_PART
