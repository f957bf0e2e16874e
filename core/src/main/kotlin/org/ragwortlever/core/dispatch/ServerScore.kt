/*
 * Ranks the backend servers for one request by the expected time to its first token, in seconds. All entry VMs send
 * requests with the same longest shared prompt prefix to the same few servers, so that not every server prefills it.
 */
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.membership.inRendezvousOrder
import kotlin.time.Instant

/** The properties of a request that determine its server. */
internal data class ServerDemand(
    val requestId: String,
    val parts: List<PromptPart>,
    val outputTokens: Int,
) {
    val promptTokens: Int get() = parts.sumOf { it.tokens }
}

/**
 * Inputs of the score beside server and demand.
 *
 * @property zone availability zone of the sending VM.
 * @property nodes number of entry VMs that send to the same servers.
 * @property isShared whether the servers' states hold the load of all entry VMs rather than of this one alone.
 * @property engineTokens cache size of one model engine, in tokens; null when unknown.
 * @property shortPromptServers servers reserved for short prompts.
 * @property reserved tokens that requests ahead of this one will have prefilled, by server.
 */
internal data class ScoreContext(
    val zone: String,
    val nodes: Int,
    val isShared: Boolean = false,
    val engineTokens: Int? = null,
    val shortPromptServers: Set<String> = emptySet(),
    val reserved: Map<String, Int> = emptyMap(),
)

/** Score of a server in [seconds]; the lowest one wins. */
internal data class ServerScore(
    val server: ServerState,
    val uncachedTokens: Int,
    val seconds: Double,
)

/** Scores [candidates] for [demand], best first. */
internal fun scoreServers(
    demand: ServerDemand,
    candidates: List<ServerState>,
    context: ScoreContext,
    now: Instant,
): List<ServerScore> {
    // The last part is unique to the request; the one before it identifies the longest shared prefix.
    val shared = demand.parts.dropLast(1).lastOrNull()?.id
    val (preferred, otherPool) = candidates.partition { isPreferredPool(demand, it, context) }
    val byAffinity = preferred.inRendezvousOrder(shared ?: demand.requestId) { it.id } + otherPool
    val affinityServer = if (shared == null || isCachedByAny(shared, candidates, context, now)) null else byAffinity.firstOrNull()
    return byAffinity
        .map { server -> score(demand, server, isAffinityServer = server === affinityServer, context, now) }
        .sortedBy { it.seconds }
}

/** Whether this VM has the load of all VMs and some candidate has probably cached the part [shared]. */
private fun isCachedByAny(
    shared: String,
    candidates: List<ServerState>,
    context: ScoreContext,
    now: Instant,
): Boolean = context.isShared && candidates.any { it.hasCached(shared, now) }

private fun isPreferredPool(
    demand: ServerDemand,
    server: ServerState,
    context: ScoreContext,
): Boolean = context.shortPromptServers.isEmpty() || (server.id in context.shortPromptServers) != isLong(demand.promptTokens)

private fun score(
    demand: ServerDemand,
    server: ServerState,
    isAffinityServer: Boolean,
    context: ScoreContext,
    now: Instant,
): ServerScore {
    val own = server.uncachedTokens(demand.parts, now)
    val ownTokens = demand.parts.lastOrNull()?.tokens ?: 0
    // All entry VMs send the same prefix to this server, so it has probably cached it or is the one that should.
    val uncached = if (isAffinityServer) minOf(own, ownTokens) else own
    val unseenLoadFactor = if (context.isShared) 1 else minOf(context.nodes, MAX_UNSEEN_LOAD_FACTOR)
    val unread = server.unreadTokens + (context.reserved[server.id] ?: 0)
    val backlog = unread.toDouble() * unseenLoadFactor / PREFILL_TOKENS_PER_SECOND
    val prefill = uncached / PREFILL_TOKENS_PER_SECOND * if (context.isShared) sharedPrefillWeight(server) else PREFILL_WEIGHT
    val batch = server.runningRequests * SECONDS_PER_RUNNING_REQUEST
    val health = server.health.errorRateAt(now) * SECONDS_PER_FAILURE
    val zonePenalty = if (server.zone == context.zone) 0.0 else OTHER_ZONE_SECONDS
    val poolPenalty =
        when {
            isPreferredPool(demand, server, context) -> 0.0
            isLong(demand.promptTokens) -> LONG_AMONG_SHORT_SECONDS
            else -> SHORT_AMONG_LONG_SECONDS
        }
    return ServerScore(
        server,
        uncached,
        backlog + prefill + batch + health + zonePenalty + poolPenalty + memoryPenalty(demand, server, context),
    )
}

/**
 * Weight of the prefill time, growing with the requests that wait at the server, as each is delayed by this prefill.
 */
private fun sharedPrefillWeight(server: ServerState): Double =
    SHARED_PREFILL_WEIGHT + DELAY_WEIGHT * maxOf(0, server.waitingRequests - 1)

/** Cost of waiting for memory, or of the running requests that the engine would have to preempt. */
private fun memoryPenalty(
    demand: ServerDemand,
    server: ServerState,
    context: ScoreContext,
): Double {
    val size = context.engineTokens ?: return 0.0
    val excess = server.heldTokens + demand.promptTokens + demand.outputTokens - size
    return if (excess > 0) SECONDS_WITHOUT_MEMORY * (1 + excess.toDouble() / size) else 0.0
}

// Prefill speed of an idle model engine. Only its ratio to the other terms matters.
internal const val PREFILL_TOKENS_PER_SECOND = 36_000.0

// Prefilling again what another server has cached delays this request and takes capacity from all others.
private const val PREFILL_WEIGHT = 2.0

// With the load of all VMs known, reading again what another server has cached is charged for the requests that it delays:
// at seven eighths of its capacity, an engine gets seven of them before it has caught up (the busy period of a queue).
private const val SHARED_PREFILL_WEIGHT = 7.0

// Each request that waits at the server is delayed; most of them would still meet their target.
private const val DELAY_WEIGHT = 2.0

// Each request of a batch slows down the others; a full batch of 64 costs about as much as prefilling one long prompt.
private const val SECONDS_PER_RUNNING_REQUEST = 0.004

// A lost request costs about one retry by the client, whose median delay is this long.
private const val SECONDS_PER_FAILURE = 2.0

// Round trip between availability zones; also keeps traffic inside the zone when all else is equal.
private const val OTHER_ZONE_SECONDS = 0.002

// Exceeds any wait: long prompts go to servers for short prompts only when no other server is left.
private const val LONG_AMONG_SHORT_SECONDS = 60.0

// On a server for long prompts, a short prompt and each token of its answer wait for the current prefill chunk.
private const val SHORT_AMONG_LONG_SECONDS = 0.3

// The VM's own backlog stands in for that of the other nodes, but one long prompt must not count for a whole large
// fleet.
private const val MAX_UNSEEN_LOAD_FACTOR = 2

// About the time until an engine finishes one of its requests and has memory again.
private const val SECONDS_WITHOUT_MEMORY = 1.0
