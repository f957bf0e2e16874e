// Logs what the reporter of usage windows did, so that two reports of one window can be explained from the log.
package org.ragwortlever.daemon.role

import io.github.oshai.kotlinlogging.KotlinLogging
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.core.store.StoreAnswer
import org.ragwortlever.core.store.committedRevision
import org.ragwortlever.core.usage.ReporterAnswer
import org.ragwortlever.core.usage.ReporterStage
import org.ragwortlever.core.usage.SealedWindow
import org.ragwortlever.core.usage.UsageCursor
import org.ragwortlever.core.usage.UsageReporter
import org.ragwortlever.core.usage.UsageWindow
import kotlin.time.Instant

/** Confined to the reporter's thread. */
internal class UsageReporterLog {
    private var lastCursor: UsageCursor? = null

    /** Logs the outcome of the step from [before] to [after], which processed [answer]. */
    fun record(
        before: UsageReporter,
        answer: ReporterAnswer,
        after: UsageReporter,
    ) {
        val fromStore = (answer as? ReporterAnswer.FromStore)?.answer ?: return
        when (val stage = before.stage) {
            is ReporterStage.Seal -> {
                recordSeal(stage.draft, before.fencing, fromStore)
            }
            is ReporterStage.ReadCursor -> {
                val isAccepted = after.fencing == before.fencing && after.stage !is ReporterStage.ReadCursor
                if (fromStore is StoreAnswer.Found && isAccepted) recordCursor(after)
            }
            is ReporterStage.RestoreCursor -> {
                recordRestore(stage, fromStore)
            }
            is ReporterStage.ReadSealed -> {
                if (after.stage is ReporterStage.MarkReported) recordLoss(stage.window)
            }
            else -> {
                Unit
            }
        }
    }

    /** Logs one report, with a digest that tells two reports of one window apart. */
    fun recordReport(
        sealed: SealedWindow,
        fencing: Long,
        outcome: SendOutcome,
    ) = logger.info {
        eventLine(
            "usage-report",
            "window" to sealed.window,
            "parts" to sealed.parts.size,
            "requests" to sealed.requests(),
            "digest" to sealed.digest(),
            "fencing" to fencing,
            "outcome" to outcome,
        )
    }

    private fun recordSeal(
        sealed: SealedWindow,
        fencing: Long,
        answer: StoreAnswer,
    ) = logger.info {
        eventLine(
            "usage-sealed",
            "window" to sealed.window,
            "parts" to sealed.parts.size,
            "requests" to sealed.requests(),
            "digest" to sealed.digest(),
            "fencing" to fencing,
            "revision" to answer.committedRevision(),
        )
    }

    private fun recordRestore(
        stage: ReporterStage.RestoreCursor,
        answer: StoreAnswer,
    ) = logger.info {
        eventLine(
            "usage-cursor-restored",
            "epoch" to stage.cursor.epoch,
            "sealed" to stage.cursor.sealed,
            "reported" to stage.cursor.reported,
            "remembered" to stage.isRemembered,
            "revision" to answer.committedRevision(),
        )
    }

    private fun recordLoss(window: UsageWindow) = logger.warn { eventLine("usage-window-left-out", "window" to window.name) }

    /** The cursor never goes back in a store that keeps what it has acknowledged. */
    private fun recordCursor(after: UsageReporter) {
        val last = lastCursor
        val read = after.cursor?.takeUnless { after.stage is ReporterStage.StartCursor }
        if (last != null && (read == null || Instant.parse(read.sealed) < Instant.parse(last.sealed))) {
            logger.warn {
                eventLine(
                    "usage-cursor-went-back",
                    "sealed" to read?.sealed,
                    "sealed-before" to last.sealed,
                    "revision" to after.cursorRevision.takeIf { read != null },
                )
            }
        }
        lastCursor = read
    }

    private fun SealedWindow.requests() = totals.values.sumOf { it.requests }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
