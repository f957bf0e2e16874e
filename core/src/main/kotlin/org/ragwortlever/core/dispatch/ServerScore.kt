/*
 * Ranks the backend servers for one request by the time to its first token, in seconds. Requests that share the longest
 * beginning of their prompts go to the same few servers on all entry VMs, so that it is read once and not by every one.
 */
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.membership.inRendezvousOrder
import kotlin.time.Instant

/** What a server is chosen for. */
internal data class ServerDemand(
    val requestId: String,
    val parts: List<PromptPart>,
    val outputTokens: Int,
) {
    val promptTokens: Int get() = parts.sumOf { it.tokens }
}

/**
 * What scores depend on beside server and demand.
 *
 * @property zone availability zone of the VM that will send.
 * @property nodes entry VMs that send to the same servers.
 * @property isShared whether the servers' states hold what all entry VMs do there, and not this one alone.
 * @property engineTokens memory of one model engine, in tokens; null when unknown.
 * @property shortPromptServers servers that are kept for short prompts.
 * @property reserved tokens that requests which wait before this one will have read, by server.
 */
internal data class ScoreContext(
    val zone: String,
    val nodes: Int,
    val isShared: Boolean = false,
    val engineTokens: Int? = null,
    val shortPromptServers: Set<String> = emptySet(),
    val reserved: Map<String, Int> = emptyMap(),
)

/** A server with the terms of its score; the lowest sum wins. */
internal data class ServerScore(
    val server: ServerState,
    val uncachedTokens: Int,
    val seconds: Double,
)

/** Scores of [candidates] for [demand], best first. */
internal fun scoreServers(
    demand: ServerDemand,
    candidates: List<ServerState>,
    context: ScoreContext,
    now: Instant,
): List<ServerScore> {
    // The last part is the request's own; the one before it names the longest shared beginning.
    val shared = demand.parts.dropLast(1).lastOrNull()?.id
    val (preferred, otherPool) = candidates.partition { isPreferredPool(demand, it, context) }
    val byAffinity = preferred.inRendezvousOrder(shared ?: demand.requestId) { it.id } + otherPool
    val affinityServer = if (shared == null || isCachedByAny(shared, candidates, context, now)) null else byAffinity.firstOrNull()
    return byAffinity
        .map { server -> score(demand, server, isAffinityServer = server === affinityServer, context, now) }
        .sortedBy { it.seconds }
}

/** Whether this VM knows for certain that a server has read the part [shared] and which one. */
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
    // All entry VMs send the same part there, so it has probably read the shared parts, or is the place to read them.
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
    return ServerScore(server, uncached, backlog + prefill + batch + health + zonePenalty + poolPenalty + memoryPenalty(demand, server, context))
}

/** Those who wait at the server wait as long again for what this request has to be read there. */
private fun sharedPrefillWeight(server: ServerState): Double =
    SHARED_PREFILL_WEIGHT + DELAY_WEIGHT * maxOf(0, server.waitingRequests - 1)

/** What waiting for memory costs, or the running answers that the engine would have to interrupt. */
private fun memoryPenalty(
    demand: ServerDemand,
    server: ServerState,
    context: ScoreContext,
): Double {
    val size = context.engineTokens ?: return 0.0
    val excess = server.heldTokens + demand.promptTokens + demand.outputTokens - size
    return if (excess > 0) SECONDS_WITHOUT_MEMORY * (1 + excess.toDouble() / size) else 0.0
}

// Reading speed of an idle model engine; only the proportion to the other terms matters.
internal const val PREFILL_TOKENS_PER_SECOND = 36_000.0

// Reading anew what another server holds delays this request and takes capacity from all others.
private const val PREFILL_WEIGHT = 2.0

// With the whole pool in view a request leaves the server that holds its parts only for a much shorter queue.
private const val SHARED_PREFILL_WEIGHT = 4.0

// Each request that waits at the server is delayed; most of them would still be in time.
private const val DELAY_WEIGHT = 2.0

// Each request of a batch slows the others; a full batch of 64 costs about as much as reading one long prompt.
private const val SECONDS_PER_RUNNING_REQUEST = 0.004

// A lost request costs about a repeat at the client, which waits this long in the median.
private const val SECONDS_PER_FAILURE = 2.0

// Round trip between availability zones, and a preference that keeps bytes inside the zone when all else is equal.
private const val OTHER_ZONE_SECONDS = 0.002

// More than any wait: long prompts go among live conversations only when no other server is left.
private const val LONG_AMONG_SHORT_SECONDS = 60.0

// A short prompt among long ones waits for the chunk that is being read, and so does each token of its answer.
private const val SHORT_AMONG_LONG_SECONDS = 0.3

// Own backlog stands for that of the other nodes too, but a single long prompt must not count for a whole large fleet.
private const val MAX_UNSEEN_LOAD_FACTOR = 2

// About the time in which an engine ends one of its requests and has room again.
private const val SECONDS_WITHOUT_MEMORY = 1.0
