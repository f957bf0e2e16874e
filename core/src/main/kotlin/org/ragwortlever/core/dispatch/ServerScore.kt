/*
 * Ranks the backend servers for one request by the time to its first token, in seconds. Requests that share the longest
 * beginning of their prompts go to the same few servers on all entry VMs, so that it is read once and not by every one.
 */
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.membership.rendezvousWeight
import kotlin.time.Instant

/**
 * What scores depend on beside server and request.
 *
 * @property nodes entry VMs that send to the same servers.
 * @property shortPromptServers servers that are kept for short prompts.
 */
internal data class ScoreContext(
    val zone: String,
    val nodes: Int,
    val shortPromptServers: Set<String> = emptySet(),
)

/** A server with the terms of its score; the lowest sum wins. */
internal data class ServerScore(
    val server: ServerState,
    val uncachedTokens: Int,
    val seconds: Double,
)

/** Scores of [candidates] for [request], best first. */
internal fun scoreServers(
    request: RoutedRequest,
    candidates: List<ServerState>,
    context: ScoreContext,
    now: Instant,
): List<ServerScore> {
    // The last part is the request's own; the one before it names the longest shared beginning.
    val shared = request.parts.dropLast(1).lastOrNull()?.id ?: request.id
    val (own, foreign) = candidates.partition { isOwnPool(request, it, context) }
    val byAffinity = own.sortedByDescending { rendezvousWeight(shared, it.id) } + foreign
    return byAffinity
        .mapIndexed { rank, server -> score(request, server, rank, context, now) }
        .sortedBy { it.seconds }
}

private fun isOwnPool(
    request: RoutedRequest,
    server: ServerState,
    context: ScoreContext,
): Boolean = context.shortPromptServers.isEmpty() || (server.id in context.shortPromptServers) != isLong(request)

private fun score(
    request: RoutedRequest,
    server: ServerState,
    rank: Int,
    context: ScoreContext,
    now: Instant,
): ServerScore {
    val own = server.uncachedTokens(request.parts, now)
    // Other entry VMs send the same part to the server of the first rank, so it has probably read the shared parts.
    val uncached = if (rank == 0 && request.parts.size > 1) minOf(own, request.parts.last().tokens) else own
    val backlog = server.unreadTokens.toDouble() * minOf(context.nodes, LOAD_FACTOR_NODES) / PROMPT_TOKENS_PER_SECOND
    val reading = uncached / PROMPT_TOKENS_PER_SECOND * READING_WEIGHT
    val batch = server.running.size * SECONDS_PER_RUNNING_REQUEST
    val health = server.health.errorRateAt(now) * SECONDS_PER_FAILURE
    val distance = if (server.zone == context.zone) 0.0 else OTHER_ZONE_SECONDS
    val pool =
        when {
            isOwnPool(request, server, context) -> 0.0
            isLong(request) -> LONG_AMONG_SHORT_SECONDS
            else -> SHORT_AMONG_LONG_SECONDS
        }
    return ServerScore(server, uncached, backlog + reading + batch + health + distance + pool)
}

// Reading speed of an idle model engine; only the proportion to the other terms matters.
internal const val PROMPT_TOKENS_PER_SECOND = 36_000.0

// Reading anew what another server holds delays this request and takes capacity from all others.
private const val READING_WEIGHT = 2.0

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
private const val LOAD_FACTOR_NODES = 2
