// What this entry VM tells those that decide for pools of backend servers.
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
    private var sequence = 0L

    /** Notes what a server of [service] said of itself; returns when to report it, if that is not planned yet. */
    fun recordNotice(
        service: String,
        notice: ReportedNotice,
    ): DispatchEffect.ScheduleReport? {
        unreported.getOrPut(service) { Unreported() }.notices += notice
        return recordChange(service)
    }

    /** Notes that an attempt at [service] begins to be answered or has ended; returns when to report it, if that is not planned yet. */
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

    /** Whether something is to be reported that no question has carried meanwhile. */
    fun isDue(service: String): Boolean = unreported[service]?.isScheduled == true

    /** The report on [attempts] at [service], while the questions [pending] are open. */
    fun createReport(
        service: String,
        attempts: List<RunningAttempt>,
        pending: List<Long>,
        now: Instant,
    ): PoolReport {
        val changes = unreported.remove(service)
        // Above all numbers of an earlier start of this VM.
        sequence = maxOf(sequence + 1, now.toEpochMilliseconds())
        val open = attempts.map { ReportedAttempt(it.server.id, it.unreadTokens, it.heldTokens, it.request.tier) }
        return PoolReport(node, service, sequence, open, pending, changes?.ends.orEmpty().toList(), changes?.notices.orEmpty().toList())
    }

    private companion object {
        // Short against the time in which an engine reads a long prompt; several changes go into one report.
        val REPORT_DELAY = 60.milliseconds

        // More ends than a VM sees between two reports; in a flood of failures the latest tell enough.
        const val MAX_REPORTED_ENDS = 32
    }
}

/** How the attempt ended as others need to know it; null when it says nothing of the server. */
internal fun AttemptEnd.toReport(server: String): ReportedEnd? =
    when (this) {
        AttemptEnd.Answered -> ReportedEnd(server, null)
        is AttemptEnd.NotRun -> ReportedEnd(server, failure).takeUnless { failure == ServerFailure.BUSY }
        is AttemptEnd.Failed -> ReportedEnd(server, failure)
    }

internal fun DispatchEvent.ServerNoticeReceived.toReport() =
    ReportedNotice(id, incarnation, notice.isLeaving, notice.quietFor?.inWholeMilliseconds ?: 0)
