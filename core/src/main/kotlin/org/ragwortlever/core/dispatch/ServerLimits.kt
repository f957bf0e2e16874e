/*
 * The request limits that backend servers have named, as far as this entry VM knows, and what it may still send under
 * them. A limit belongs to a process of a server. VMs exchange what they know with questions, reports and advice; of two
 * different statements about a process the later one holds.
 */
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.backend.RequestLimit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Not thread-safe. */
internal class ServerLimits {
    private data class Process(
        val server: String,
        val incarnation: Long,
    )

    /** What is known of a process: its limit, null once it has ended, and since when. */
    private class LimitState(
        var requestsPerSecond: Double?,
        var observedAt: Instant,
        var allowance: RequestAllowance,
    )

    private val states = LinkedHashMap<Process, LimitState>()
    private val vms = RecentMaximum(1)

    /** Whether no limit is known, so that nothing has to be checked. */
    val isEmpty: Boolean get() = states.isEmpty()

    /** Sets the number of entry VMs that accrue shares, including this one. */
    fun setVms(
        count: Int,
        now: Instant,
    ) = vms.set(count, now)

    /** Records the [limit] that a process named in an answer. */
    fun recordLimit(
        server: String,
        incarnation: Long,
        limit: RequestLimit,
        now: Instant,
    ) {
        val process = Process(server, incarnation)
        when (limit) {
            is RequestLimit.PerSecond -> set(process, limit.requests, now, now)
            RequestLimit.Unreadable -> states[process]?.observedAt = now
        }
    }

    /** Records an answer to an attempt that started at [startedAt]. The limit has ended if it was not named since. */
    fun recordAnswer(
        server: BackendServer,
        startedAt: Instant,
    ) {
        val state = states[server.process] ?: return
        if (startedAt <= state.observedAt) return
        state.requestsPerSecond = null
        state.observedAt = startedAt
    }

    fun isLimited(server: BackendServer): Boolean = limitOf(server) != null

    /** The limit of [server] in requests per second; null when it has none. */
    fun limitOf(server: BackendServer): Double? = if (isEmpty) null else states[server.process]?.effectiveLimit

    /** Whole requests that this VM may send to [server] now; null when it has no limit. */
    fun available(
        server: BackendServer,
        now: Instant,
    ): Int? {
        val state = states[server.process] ?: return null
        val limit = state.effectiveLimit ?: return null
        state.allowance.accrue(limit, vms.at(now), now)
        return (state.allowance.available + ROUNDING_ERROR).toInt()
    }

    /** Spends one request to [server]; the caller has checked [available]. */
    fun take(server: BackendServer) {
        states[server.process]?.allowance?.take()
    }

    /** Returns the limits of [servers] with all that this VM may send under them, and gives that away. */
    fun handOver(
        servers: Collection<BackendServer>,
        now: Instant,
    ): List<ReportedLimit> =
        report(servers, now).map { limit ->
            val state = states.getValue(Process(limit.server, limit.incarnation))
            val perSecond = state.effectiveLimit ?: return@map limit
            state.allowance.accrue(perSecond, vms.at(now), now)
            val share = state.allowance.removeOwn(now) ?: return@map limit
            limit.copy(shareRequests = share.requests, shareAgeMilliseconds = share.age.inWholeMilliseconds)
        }

    /** Returns what is known of the limits of [servers], without giving anything away. */
    fun report(
        servers: Collection<BackendServer>,
        now: Instant,
    ): List<ReportedLimit> {
        states.values.removeAll { it.requestsPerSecond == null && now - it.observedAt >= END_REPORTED_FOR }
        return servers
            .mapNotNull { server -> states[server.process]?.let { server to it } }
            .take(MAX_REPORTED)
            .map { (server, state) ->
                ReportedLimit(
                    server.id,
                    server.incarnation,
                    state.requestsPerSecond,
                    (now - state.observedAt).inWholeMilliseconds,
                )
            }
    }

    /** Applies what another VM knows, and takes over what it has handed over. */
    fun merge(
        reported: ReportedLimit,
        now: Instant,
    ) {
        val process = Process(reported.server, reported.incarnation)
        val observedAt = now - reported.observedMillisecondsAgo.coerceAtLeast(0).milliseconds
        val known = states[process]
        val limit = reported.requestsPerSecond?.takeIf { it.isFinite() && it >= 0 }
        if (known == null) {
            if (limit == null) return
            set(process, limit, observedAt, now)
        } else if (known.requestsPerSecond != limit && observedAt > known.observedAt) {
            set(process, limit, observedAt, now)
        }
        addShare(process, reported, now)
    }

    private fun addShare(
        process: Process,
        reported: ReportedLimit,
        now: Instant,
    ) {
        val state = states[process] ?: return
        val limit = state.effectiveLimit ?: return
        val accruedUnder = reported.requestsPerSecond?.let(::effective) ?: return
        if (reported.shareRequests <= 0 || !reported.shareRequests.isFinite()) return
        // What was accrued under a higher limit than the current one counts only in proportion.
        val requests = reported.shareRequests * minOf(1.0, limit / accruedUnder)
        state.allowance.add(AllowanceShare(requests, reported.shareAgeMilliseconds.coerceAtLeast(0).milliseconds), now)
    }

    private fun set(
        process: Process,
        limit: Double?,
        observedAt: Instant,
        now: Instant,
    ) {
        val state = states.getOrPut(process) { LimitState(limit, observedAt, RequestAllowance(now)) }
        val before = state.requestsPerSecond
        // What was accrued under another limit, or before the server named one again, no longer counts.
        if (before == null || (limit != null && limit < before)) state.allowance = RequestAllowance(now)
        state.requestsPerSecond = limit
        state.observedAt = observedAt
        if (states.size > MAX_PROCESSES) states.remove(states.keys.first())
    }

    private val LimitState.effectiveLimit: Double? get() = requestsPerSecond?.let(::effective)

    private fun effective(limit: Double) = maxOf(limit, MIN_REQUESTS_PER_SECOND)

    private val BackendServer.process get() = Process(id, incarnation)

    private companion object {
        // A server that takes nothing still has to get a request now and then, because only its answers tell that the limit ended.
        const val MIN_REQUESTS_PER_SECOND = 0.25

        // Sums of many small shares are slightly less than the whole.
        const val ROUNDING_ERROR = 1e-6

        // Several rounds of questions, so that the other VMs learn that a limit has ended.
        val END_REPORTED_FOR = 10.seconds

        // Keeps a message well below the size that peers accept.
        const val MAX_REPORTED = 256
        const val MAX_PROCESSES = 4000
    }
}
