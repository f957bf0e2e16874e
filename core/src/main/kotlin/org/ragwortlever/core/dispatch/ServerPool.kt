// The backend servers that an entry VM may send to, and the choice among them.
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.backend.SlowStartLimiter
import org.ragwortlever.core.backend.KnownServer
import org.ragwortlever.core.backend.ServerNotice
import org.ragwortlever.core.route.ServiceDefinition
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Owned by one dispatcher. */
internal class ServerPool(
    private val options: DispatchOptions,
) {
    private val servers = HashMap<String, ServerState>()
    private val cold = SlowStartLimiter(options.node)

    /** Outlive the entries of [servers], since the store may announce a process that leaves again. */
    private val availabilities = ServerAvailabilities()

    /** Servers for short prompts by service; each change of the servers makes the reservedForShortPrompts anew. */
    private val shortPromptServers = HashMap<String, Set<String>>()

    /** The entry VMs that take requests, this one included. */
    var nodes: Set<String> = setOf(options.node)
    var zonesTakenOut: Set<String> = emptySet()

    fun find(id: String): ServerState? = servers[id]

    /** Takes the servers that may get requests now; returns the states of those whose processes have gone. */
    fun replace(listed: List<KnownServer>): List<ServerState> {
        shortPromptServers.clear()
        val incarnations = listed.associate { it.server.id to it.server.incarnation }
        val gone = servers.values.filter { incarnations[it.id] != it.known.server.incarnation }
        gone.forEach { servers.remove(it.id) }
        listed.forEach { known ->
            val state = servers[known.server.id]
            if (state == null) servers[known.server.id] = ServerState(known, availabilityOf(known)) else state.known = known
        }
        return gone
    }

    /**
     * The best server of [service] for a request of this VM; null when none may get it.
     *
     * @param failedServers servers that it must not get again.
     * @param rejectingServers servers that it gets only when there is no other.
     */
    fun chooseServer(
        request: RoutedRequest,
        service: ServiceDefinition,
        failedServers: Set<String>,
        rejectingServers: Set<String>,
        now: Instant,
    ): ServerScore? {
        val demand = ServerDemand(request.id, request.parts, request.outputTokens)
        val engineTokens = service.engine?.cacheTokens
        val eligible =
            serversOf(service.name, now)
                .filter { it.id !in failedServers && maySendNow(it, service, now) }
                .filterByPromptLength(demand, findShortPromptServers(service.name, engineTokens))
        val untried = eligible.filter { it.id !in rejectingServers }
        val candidates = if (untried.isEmpty() && rejectingServers.size <= eligible.size) eligible else untried
        val responsive = candidates.filterNot { it.isSilent(SILENCE_THRESHOLD, now) }.ifEmpty { candidates }
        val healthy = responsive.filter { now >= it.health.avoidUntil }.ifEmpty { responsive }
        val context = ScoreContext(options.zone, nodes.size, isShared = false, engineTokens, findShortPromptServers(service.name, engineTokens))
        return scoreServers(demand, healthy, context, now).firstOrNull()
    }

    /**
     * The servers that may get the request of [question], by what all VMs do there; the best one first.
     *
     * @param reserved tokens that requests which wait before this one will have read, by server.
     */
    fun rank(
        question: PoolQuestion,
        reserved: Map<String, Int>,
        now: Instant,
    ): List<ServerScore> {
        val service = question.report.service
        val demand = ServerDemand(question.requestId, question.parts, question.outputTokens)
        val engineTokens = question.engineTokens.takeIf { it > 0 }
        val reservedForShortPrompts = findShortPromptServers(service, engineTokens)
        val eligible =
            serversOf(service, now)
                .filter { it.id !in question.excluded && (!it.isCold(now) || it.id in question.cold) }
                .filterByPromptLength(demand, reservedForShortPrompts)
        val healthy = eligible.filter { now >= it.health.avoidUntil }.ifEmpty { eligible }
        val context = ScoreContext(question.zone, nodes.size, isShared = true, engineTokens, reservedForShortPrompts, reserved)
        return scoreServers(demand, healthy, context, now)
    }

    /** Servers of [service] that this VM would not choose now: they failedServers lately, say nothing, or want nothing new. */
    fun avoidedServers(
        service: ServiceDefinition,
        now: Instant,
    ): Set<String> = servers.values.filter { it.known.server.service == service.name && it.shouldAvoid(now) }.mapTo(HashSet()) { it.id }

    private fun ServerState.shouldAvoid(now: Instant) = now < health.avoidUntil || isSilent(SILENCE_THRESHOLD, now) || !availability.isAvailable(now)

    /** Cold servers of [service] that this VM may send one request now. */
    fun sendableColdServers(
        service: ServiceDefinition,
        now: Instant,
    ): Set<String> = serversOf(service.name, now).filter { it.isCold(now) && maySendNow(it, service, now) }.mapTo(HashSet()) { it.id }

    /** The server that [advice] names, if it may still get a request of [service] from this VM. */
    fun resolveAdvice(
        advice: PoolAdvice,
        service: ServiceDefinition,
        now: Instant,
    ): ServerState? =
        servers[advice.server]?.takeIf {
            it.known.server.incarnation == advice.incarnation && it.zone !in zonesTakenOut &&
                it.availability.isAvailable(now) && maySendNow(it, service, now)
        }

    /** Notes that [server] gets a request. */
    fun recordSent(
        server: ServerState,
        now: Instant,
    ) {
        if (server.isCold(now)) cold.recordSend(server.id, now)
    }

    /** The servers of [service] that take new requests and lie outside of zones that are taken out. */
    fun serversOf(
        service: String,
        now: Instant,
    ): List<ServerState> = servers.values.filter { it.known.server.service == service && it.zone !in zonesTakenOut && it.availability.isAvailable(now) }

    private fun availabilityOf(known: KnownServer) = availabilities.of(known.server.id, known.server.incarnation)

    /** Takes what the process of the server [id] that began at [incarnation] said of itself. */
    fun recordNotice(
        id: String,
        incarnation: Long,
        notice: ServerNotice,
        now: Instant,
    ) {
        availabilities.of(id, incarnation).recordNotice(notice, returnPosition(options.node, id), now)
    }

    /** When the first of the servers of [services] that want quiet takes requests again; null if none does. */
    fun findNextAvailableTime(
        services: List<ServiceDefinition>,
        now: Instant,
    ): Instant? {
        val names = services.mapTo(HashSet()) { it.name }
        return servers.values
            .filter { it.known.server.service in names && it.zone !in zonesTakenOut && !it.availability.isLeaving && it.availability.backoffUntil > now }
            .minOfOrNull { it.availability.backoffUntil }
    }

    private fun maySendNow(
        server: ServerState,
        service: ServiceDefinition,
        now: Instant,
    ): Boolean = !server.isCold(now) || cold.allows(server.id, service.coldPerSecond, nodes, now)

    private fun findShortPromptServers(
        service: String,
        engineTokens: Int?,
    ): Set<String> {
        if (engineTokens == null) return emptySet()
        return shortPromptServers.getOrPut(service) {
            serversForShortPrompts(service, servers.values.filter { it.known.server.service == service })
        }
    }

    private companion object {
        // Longer than a busy server takes for its next sign of life, short against the time that callers wait.
        val SILENCE_THRESHOLD = 800.milliseconds
    }
}

/**
 * The servers of this list that [demand] should get. Long prompts stay away from engines for [shortPromptServers] while
 * there is any other, even one that fails: under overload, late answers make all others look bad.
 */
private fun List<ServerState>.filterByPromptLength(
    demand: ServerDemand,
    shortPromptServers: Set<String>,
): List<ServerState> {
    if (!isLong(demand.promptTokens)) return this
    return filter { it.id !in shortPromptServers }.ifEmpty { this }
}

/** Spreads the VMs evenly for each server. */
private fun returnPosition(
    node: String,
    server: String,
): Double = ("$node $server".hashCode() and Int.MAX_VALUE) / (Int.MAX_VALUE + 1.0)
