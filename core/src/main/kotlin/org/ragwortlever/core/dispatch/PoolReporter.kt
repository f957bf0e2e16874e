// Collects what this entry VM has to report to the deciders of pools of backend servers.
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.backend.ServerFailure
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Not thread-safe. */
internal class PoolReporter(
    private val node: String,
) {
    private class Unreported {
        val ends = ArrayDeque<ReportedEnd>()
        val notices = LinkedHashSet<ReportedNotice>()
        var isScheduled = false
    }

    private val unreported = HashMap<String, Unreported>()
    private val lastReports = HashMap<String, Instant>()
    private var sequence = 0L

    /**
     * Records a notice of a server of [service]. Returns the report to schedule, or null when one is already scheduled.
     */
    fun recordNotice(
        service: String,
        notice: ReportedNotice,
    ): DispatchEffect.ScheduleReport? {
        unreported.getOrPut(service) { Unreported() }.notices += notice
        return recordChange(service)
    }

    /**
     * Records that an attempt at [service] got its first byte or ended. Returns the report to schedule, or null when
     * one is already scheduled.
     */
    fun recordChange(
        service: String,
        end: ReportedEnd? = null,
    ): DispatchEffect.ScheduleReport? {
        val changes = unreported.getOrPut(service) { Unreported() }
        end?.let(changes.ends::addLast)
        while (changes.ends.size > MAX_REPORTED_ENDS) changes.ends.removeFirst()
        if (changes.isScheduled) return null
        changes.isScheduled = true
        return DispatchEffect.ScheduleReport(service, REPORT_DELAY)
    }

    /** Whether changes are left that no question has carried since the report was scheduled. */
    fun isDue(service: String): Boolean = unreported[service]?.isScheduled == true

    /** When the last report on [service] was created. */
    fun lastReportAt(service: String): Instant = lastReports[service] ?: Instant.DISTANT_PAST

    /** Forgets the recorded changes at [service], which this VM decides for itself. */
    fun discardChanges(service: String) {
        unreported.remove(service)
    }

    /**
     * Builds the report on the open [attempts], [pending] questions, [limits] and [quarantine] at [service], and clears the
     * recorded changes.
     */
    fun createReport(
        service: String,
        attempts: List<RunningAttempt>,
        pending: List<Long>,
        limits: List<ReportedLimit>,
        quarantine: ContentQuarantine,
        now: Instant,
    ): PoolReport {
        val changes = unreported.remove(service)
        lastReports[service] = now
        // Higher than all sequence numbers of earlier runs of this VM.
        sequence = maxOf(sequence + 1, now.toEpochMilliseconds())
        val open = attempts.map { ReportedAttempt(it.server.id, it.unreadTokens, it.heldTokens, it.request.tier, it.request.outputTokens) }
        val ends = changes?.ends.orEmpty().toList()
        return PoolReport(
            node,
            service,
            sequence,
            open,
            pending,
            ends,
            changes?.notices.orEmpty().toList(),
            limits,
            quarantine.reportBreaks(service, now),
            quarantine.reportQuarantined(service, now),
        )
    }

    private companion object {
        // Short against the time in which an engine prefills a long prompt; several changes share one report.
        val REPORT_DELAY = 60.milliseconds

        // More ends than a VM sees between two reports; in a burst of failures the latest ones are enough.
        const val MAX_REPORTED_ENDS = 32
    }
}

/** Converts the end of an attempt with [parts] for the report; null when it says nothing about the server's health. */
internal fun AttemptEnd.toReport(
    server: String,
    parts: List<String>,
): ReportedEnd? =
    when (this) {
        AttemptEnd.Answered -> ReportedEnd(server, null, parts)
        is AttemptEnd.NotRun -> ReportedEnd(server, failure).takeUnless { failure == ServerFailure.BUSY || failure.isLocal }
        is AttemptEnd.Failed -> ReportedEnd(server, failure)
    }

internal fun DispatchEvent.ServerNoticeReceived.toReport() =
    ReportedNotice(id, incarnation, notice.isLeaving, notice.quietFor?.inWholeMilliseconds ?: 0)
