/*
 * Brings routing, retry budgets and crash suspects together for the traffic controller: which server an attempt goes
 * to, and whether a failed one may run again.
 */
package org.ragwortlever.core.traffic

import org.ragwortlever.core.capacity.ServerCapacity
import org.ragwortlever.core.configuration.ConfigurationSnapshot
import org.ragwortlever.core.error.Executed
import org.ragwortlever.core.retry.CrashSuspects
import org.ragwortlever.core.retry.RetryBudget
import org.ragwortlever.core.routing.CandidateSet
import org.ragwortlever.core.routing.Router
import org.ragwortlever.core.routing.RoutingOptions
import kotlin.time.Instant

internal class ServerChoice(
    private val options: TrafficOptions,
    private var snapshot: ConfigurationSnapshot,
) {
    private val router = Router(options.routing(snapshot))
    private val budget = RetryBudget()
    private val suspects = CrashSuspects()
    private val running = HashMap<AttemptId, Attempt>()
    private var serversOut = false
    private val candidateSets = HashMap<Pair<String, String>, CandidateSet>()

    /** Learns from [event]; to be called before the controller acts on it. */
    fun observe(
        event: TrafficEvent,
        now: Instant,
    ) {
        when (event) {
            is TrafficEvent.FirstToken -> {
                router.firstToken(event.attempt, now)
            }
            is TrafficEvent.Progress -> {
                router.progress(event.attempt, event.tokens, now)
            }
            is TrafficEvent.Finished -> {
                finished(event, now)
            }
            is TrafficEvent.LoadReport -> {
                router.loadReported(event.server, event.running + event.waiting)
            }
            is TrafficEvent.ConfigurationChanged -> {
                snapshot = event.snapshot
                candidateSets.clear()
            }
            else -> {
                Unit
            }
        }
    }

    /** Chooses among [candidates], all of which have a free slot; there is at least one. */
    fun choose(
        request: RequestDescription,
        candidates: List<ServerCapacity>,
        now: Instant,
    ): RoutingDecision {
        val preferred = withoutSuspects(request, candidates, now)
        val set =
            candidateSets.getOrPut(request.requestClass to request.model) {
                router.candidates(snapshot.serversFor(request.requestClass, request.model))
            }
        val eligible = preferred.mapTo(HashSet()) { it.id }
        if (options.routeByFirstToken) {
            val decision = router.choose(request, set, now) { it in eligible }
            if (decision.chosen != null) return decision
        }
        val scores = preferred.associate { it.id to it.running.toDouble() / it.server.maxConcurrency }
        return RoutingDecision(request.id, scores.minBy { it.value }.key, "least-loaded", scores)
    }

    /** Whether [server] is not out for its speed or failures, or may be probed. */
    fun accepts(
        server: ServerCapacity,
        now: Instant,
    ): Boolean = !options.stragglers || router.accepts(server.id, now)

    /** Whether a server that was out at the last call may take work again; its back-off passes without an event. */
    fun mayHaveServersBack(now: Instant): Boolean {
        val before = serversOut
        serversOut = options.stragglers && router.hasServersOut(now)
        return before || serversOut
    }

    fun dispatched(
        attempt: Attempt,
        now: Instant,
    ) {
        running[attempt.id] = attempt
        router.dispatched(attempt.id, attempt.waiting.request, attempt.server.id, now)
    }

    fun cancelled(attempt: AttemptId) {
        running.remove(attempt)
        router.cancelled(attempt)
    }

    /** Whether [request] has crashed servers and must not run. */
    fun isRefused(
        request: RequestDescription,
        now: Instant,
    ): Boolean = options.crashSuspects && suspects.isRefused(request.contentDigest, now)

    /** Takes a retry of [request] from the budgets, if they have one. */
    fun takeRetry(
        request: RequestDescription,
        overloaded: Boolean,
        now: Instant,
    ): Boolean = !options.retryBudget || budget.tryTake(request.account, overloaded, now)

    private fun finished(
        event: TrafficEvent.Finished,
        now: Instant,
    ) {
        val attempt = running.remove(event.attempt) ?: return
        val request = attempt.waiting.request
        when (val outcome = event.outcome) {
            is AttemptOutcome.Completed -> {
                router.completed(event.attempt, now)
                budget.recordSuccess(request.account, now)
                suspects.recordCompletion(request.contentDigest, now)
            }
            is AttemptOutcome.Failed -> {
                router.failed(event.attempt, now)
                if (outcome.executed == Executed.NO) return
                suspects.recordFailure(request.contentDigest, attempt.server.id, attempt.server.server.zone, now)
            }
        }
    }

    /** Keeps suspects alone, or at least apart from each other and from zones that may be failing, where a server allows. */
    private fun withoutSuspects(
        request: RequestDescription,
        candidates: List<ServerCapacity>,
        now: Instant,
    ): List<ServerCapacity> {
        if (!options.crashSuspects) return candidates
        val hosts =
            running.values
                .filter { suspects.isSuspect(it.waiting.request.contentDigest, now) }
                .mapTo(HashSet()) { it.server.id }
        val apart = candidates.filter { it.id !in hosts }
        if (!suspects.isSuspect(request.contentDigest, now)) return apart.ifEmpty { candidates }
        val doubtful = suspects.findZonesWithRecentCrash(request.contentDigest, now)
        val elsewhere = candidates.filter { it.server.zone !in doubtful }
        val apartElsewhere = elsewhere.filter { it.id !in hosts }
        return apartElsewhere
            .filter { it.running == 0 }
            .ifEmpty { apartElsewhere }
            .ifEmpty { elsewhere }
            .ifEmpty { apart }
            .ifEmpty { candidates }
    }
}

private fun TrafficOptions.routing(snapshot: ConfigurationSnapshot) =
    RoutingOptions(
        zone = zone,
        regions = snapshot.document.zones.mapValues { it.value.region },
        loadReports = loadReports,
        prefixCache = prefixCache,
        observedSpeed = observedSpeed,
        stragglers = stragglers,
        price = price,
    )
