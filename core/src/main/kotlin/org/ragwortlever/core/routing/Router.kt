// Chooses the server with the lowest expected first-token time and keeps what the choice is based on.
package org.ragwortlever.core.routing

import org.ragwortlever.core.configuration.BackendServer
import org.ragwortlever.core.traffic.AttemptId
import org.ragwortlever.core.traffic.RequestDescription
import org.ragwortlever.core.traffic.RoutingDecision
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Decides for one entry VM. Not thread-safe: the control thread owns it. */
class Router(
    private val options: RoutingOptions = RoutingOptions(),
) {
    private val observations = HashMap<String, ServerObservation>()
    private val attempts = HashMap<AttemptId, RoutedAttempt>()
    private val prefixes = PrefixExpectation()
    private val distance = ZoneDistance(options)

    /** Prepares [servers] for [choose]; to be kept until the configuration changes. */
    fun candidates(servers: Map<String, BackendServer>): CandidateSet =
        CandidateSet(
            ids = servers.keys.toTypedArray(),
            servers = servers.values.toTypedArray(),
            observations = servers.keys.map(::observation).toTypedArray(),
            fixedSeconds =
                servers.values
                    .map { distance.seconds(it.zone) + if (options.price) PriceTerm.seconds(it.kind) else 0.0 }
                    .toDoubleArray(),
        )

    /**
     * The server with the lowest score among the [candidates] that are [eligible]; `chosen` is null when none is. A
     * server that is out is chosen only for a probe, or when nothing else is eligible.
     */
    fun choose(
        request: RequestDescription,
        candidates: CandidateSet,
        now: Instant,
        eligible: (String) -> Boolean = { true },
    ): RoutingDecision {
        candidates.refresh(now)
        val size = candidates.ids.size
        val ids = arrayOfNulls<String>(size)
        val scores = DoubleArray(size)
        val held = if (options.prefixCache) prefixes.ofSession(request.session) else null
        var count = 0
        var best = -1
        var bestOut = -1
        var probe = -1
        // Starting at a different place for each request keeps entry VMs from agreeing on the first of equals.
        var index = if (size == 0) 0 else request.id.value.hashCode().mod(size)
        repeat(size) {
            val id = candidates.ids[index]
            if (eligible(id)) {
                val score = score(request, candidates, index, held, now)
                ids[count] = id
                scores[count] = score
                val observation = candidates.observations[index]
                when {
                    !options.stragglers || !StragglerCheck.isOut(observation, now) -> if (best < 0 || score < scores[best]) best = count
                    StragglerCheck.mayProbe(observation, now) -> probe = count
                    else -> if (bestOut < 0 || score < scores[bestOut]) bestOut = count
                }
                count++
            }
            if (++index == size) index = 0
        }
        return decision(request, ids.requireNoNulls(count), scores, Picks(best, bestOut, probe), now)
    }

    /** Whether [server] takes ordinary work now, or a probe. */
    fun accepts(
        server: String,
        now: Instant,
    ): Boolean {
        val observation = observation(server)
        return !StragglerCheck.isOut(observation, now) || StragglerCheck.mayProbe(observation, now)
    }

    fun hasServersOut(now: Instant): Boolean = observations.values.any { StragglerCheck.isOut(it, now) }

    /** [attempt] of [request] was sent to [server]. */
    fun dispatched(
        attempt: AttemptId,
        request: RequestDescription,
        server: String,
        now: Instant,
    ) {
        val cached = prefixes.ofSession(request.session)?.get(server)?.let {
            prefixes.expectedTokens(it, server, request.promptTokens, now)
        }
        val prefill = request.promptTokens - (cached ?: 0)
        observation(server).dispatched(prefill)
        attempts[attempt] = RoutedAttempt(request, server, prefill, now)
    }

    fun firstToken(
        attempt: AttemptId,
        now: Instant,
    ) {
        val routed = attempts[attempt] ?: return
        routed.settlePrefill()
        observation(routed.server).answered()
        routed.lastToken = now
        val session = routed.request.session ?: return
        prefixes.stored(session, routed.server, routed.request.promptTokens, now)
    }

    /** [tokens] more tokens have arrived since the last event of the attempt. */
    fun progress(
        attempt: AttemptId,
        tokens: Int,
        now: Instant,
    ) {
        val routed = attempts[attempt] ?: return
        if (tokens <= 0 || !routed.hasFirstToken) return
        observation(routed.server).progress((now - routed.lastToken).toDouble(DurationUnit.SECONDS) / tokens)
        routed.lastToken = now
        routed.tokens += tokens
    }

    fun completed(
        attempt: AttemptId,
        now: Instant,
    ) {
        val routed = end(attempt) ?: return
        val session = routed.request.session ?: return
        prefixes.stored(session, routed.server, routed.request.promptTokens + routed.tokens, now)
    }

    /** The server failed under the attempt; its cache is taken for lost. */
    fun failed(
        attempt: AttemptId,
        now: Instant,
    ) {
        val routed = end(attempt) ?: return
        observation(routed.server).failed(now)
        prefixes.cleared(routed.server, now)
    }

    /** The attempt was cancelled, which says nothing about the server. */
    fun cancelled(attempt: AttemptId) {
        end(attempt)
    }

    fun loadReported(
        server: String,
        load: Int,
    ) = observation(server).reported(load)

    /** The server reported at [at] that it holds [tokens] of [session] (0: evicted); events arrive late and with gaps. */
    fun cacheReported(
        server: String,
        session: String,
        tokens: Int,
        sequence: Long,
        at: Instant,
    ) = prefixes.reported(server, session, tokens, sequence, at)

    private fun score(
        request: RequestDescription,
        candidates: CandidateSet,
        index: Int,
        held: Map<String, PrefixExpectation.Held>?,
        now: Instant,
    ): Double {
        val observation = candidates.observations[index]
        val id = candidates.ids[index]
        val cached = held?.get(id)?.let { prefixes.expectedTokens(it, id, request.promptTokens, now) } ?: 0
        val work =
            QueueDelay.seconds(candidates.servers[index], observation, options.loadReports) +
                PrefillTime.seconds(request.promptTokens, cached)
        val slowness = if (options.observedSpeed) ObservedSpeed.factor(observation, candidates.medianGap) else 1.0
        return work * slowness + candidates.fixedSeconds[index]
    }

    private fun decision(
        request: RequestDescription,
        ids: Array<String>,
        scores: DoubleArray,
        picks: Picks,
        now: Instant,
    ): RoutingDecision {
        val (index, reason) =
            when {
                picks.probe >= 0 -> picks.probe to "probe"
                picks.best >= 0 -> picks.best to "lowest-first-token-time"
                picks.bestOut >= 0 -> picks.bestOut to "only-stragglers"
                else -> -1 to "no-candidate"
            }
        val chosen = ids.getOrNull(index)
        if (chosen != null && reason == "probe") observation(chosen).lastProbe = now
        return RoutingDecision(request.id, chosen, reason, CandidateScores(ids, scores, ids.size))
    }

    private fun end(attempt: AttemptId): RoutedAttempt? {
        val routed = attempts.remove(attempt) ?: return null
        routed.settlePrefill()
        observation(routed.server).ended()
        return routed
    }

    private fun RoutedAttempt.settlePrefill() {
        if (hasFirstToken) return
        hasFirstToken = true
        observation(server).prefillEnded(prefillTokens)
    }

    private fun observation(server: String) = observations.getOrPut(server) { ServerObservation() }

    private class Picks(
        val best: Int,
        val bestOut: Int,
        val probe: Int,
    )
}

private class RoutedAttempt(
    val request: RequestDescription,
    val server: String,
    val prefillTokens: Int,
    var lastToken: Instant,
) {
    var hasFirstToken = false
    var tokens = 0
}

@Suppress("UNCHECKED_CAST")
private fun Array<String?>.requireNoNulls(count: Int): Array<String> = (if (count == size) this else copyOf(count)) as Array<String>
