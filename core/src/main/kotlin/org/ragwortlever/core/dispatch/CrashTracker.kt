/*
 * Which requests crash backend servers. Attempts that broke off are put together with servers whose process is gone, and
 * requests whose content has crashed servers are kept from running again.
 */
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.backend.ServerFailure
import org.ragwortlever.core.retry.CrashSuspects
import kotlin.time.Instant

/** Part of one dispatcher. Not thread-safe. */
internal class CrashTracker(
    private val pool: ServerPool,
    private val deciderSelector: DeciderSelector,
    private val reporter: PoolReporter,
    private val quarantine: ContentQuarantine,
) {
    private val suspects = CrashSuspects()

    /** Whether [request] must not run, because equal requests or requests with one of its parts crashed servers. */
    fun isQuarantined(
        request: RoutedRequest,
        now: Instant,
    ): Boolean =
        suspects.isRefused(request.digest, now) ||
            request.services.any { quarantine.findQuarantined(it.name, request.partIds, now) != null }

    /** Records that [attempt] was answered completely. */
    fun recordCompletion(
        attempt: RunningAttempt,
        now: Instant,
    ) {
        suspects.recordCompletion(attempt.request.digest, now)
        quarantine.recordCompletion(attempt.server.known.server.service, attempt.request.partIds, now)
    }

    /**
     * Records that [attempt] broke off; it may have crashed its server. A server that leaves breaks off what still runs
     * there, so only one that takes requests counts for the quarantine.
     */
    fun recordBreak(
        attempt: RunningAttempt,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val server = attempt.server
        server.recordBrokenAttempt(attempt.request.digest, now)
        if (pool.find(server.id) !== server || server.availability.isLeaving) return
        quarantine.recordBreak(attempt, now)
        effects += DispatchEffect.CheckServer(server.known.server)
    }

    /** The process of [server] is gone: each attempt that recently broke off on it may have caused the crash. */
    fun recordProcessGone(
        server: ServerState,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        quarantine.recordProcessGone(server, now)
        val digests = server.takeCrashSuspects(now)
        if (digests.isEmpty()) return
        suspects.recordCrash(server.incarnationName, server.zone, digests, now)
        effects += DispatchEffect.ReportCrash(server.incarnationName, server.zone, digests)
    }

    /** A server refuses connections after it broke off an attempt of this VM. */
    fun handleUnreachable(
        event: DispatchEvent.ServerUnreachable,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val server = pool.find(event.id)?.takeIf { it.known.server.incarnation == event.incarnation } ?: return
        server.recordFailure(ServerFailure.UNREACHABLE, now)
        recordProcessGone(server, now, effects)
        val service = server.known.server.service
        reporter.recordChange(service, ReportedEnd(server.id, ServerFailure.UNREACHABLE))?.let { effects += it }
        if (deciderSelector.isFirst(service)) quarantine.decide(service, now)
    }

    /** Another VM has reported a crash. */
    fun applyReport(
        event: DispatchEvent.CrashReportReceived,
        now: Instant,
    ) = suspects.recordCrash(event.server, event.zone, event.digests, now)

    /** Evaluates the crashes at [service]. What a VM finds that others do not report to binds this VM only. */
    fun evaluate(
        service: String,
        now: Instant,
    ) = if (deciderSelector.isFirst(service)) quarantine.decide(service, now) else quarantine.decideLocally(service, now)
}
