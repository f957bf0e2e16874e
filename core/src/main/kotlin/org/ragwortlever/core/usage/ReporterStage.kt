// Calls, answers and stages of the reporter of usage windows.
package org.ragwortlever.core.usage

import org.ragwortlever.core.store.StoreAnswer
import org.ragwortlever.core.store.StoreCall
import org.ragwortlever.core.store.StoreEntry

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

    /**
     * Makes [cursor] the position of the reporter in a new epoch of the store, together with [pending], the sealed window
     * that it has still to report.
     *
     * @property isRemembered whether the position is what this process remembers. Otherwise it is the time at which the process
     *   learned of the epoch, and the windows up to it are never reported: they may have been.
     */
    data class RestoreCursor(
        val cursor: UsageCursor,
        val pending: SealedWindow?,
        val isRemembered: Boolean,
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
