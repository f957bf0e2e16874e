// The backend servers that an entry VM may send to, and the choice among them.
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.backend.KnownServer
import org.ragwortlever.core.backend.ServerNotice
import org.ragwortlever.core.backend.SlowStartLimiter
import org.ragwortlever.core.rollout.VersionShare
import org.ragwortlever.core.rollout.VersionedServer
import org.ragwortlever.core.route.ServiceDefinition
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Owned by one dispatcher. Not thread-safe. */
internal class ServerPool(
    private val options: DispatchOptions,
) {
    private val servers = HashMap<String, ServerState>()
    private val cold = SlowStartLimiter(options.node)

    /**
     * Kept apart from [servers], because the store may announce a leaving process again after its entry was removed.
     */
    private val availabilities = ServerAvailabilities()

    /** Servers reserved for short prompts, by service; recomputed after each change of the servers. */
    private val shortPromptServers = HashMap<String, Set<String>>()

    /** Request limits that servers have named. */
    val limits = ServerLimits()

    /** Names of the entry VMs that take requests, including this one. */
    var nodes: Set<String> = setOf(options.node)
        private set
    var zonesTakenOut: Set<String> = emptySet()

    /** What the version under roll-out of a service gets, by service. */
    var versionShares: Map<String, VersionShare> = emptyMap()

    fun find(id: String): ServerState? = servers[id]

    /** Sets the entry VMs that take requests. */
    fun setNodes(
        names: Set<String>,
        now: Instant,
    ) {
        nodes = names + options.node
        limits.setVms(nodes.size, now)
    }

    /** Sets the servers that may get requests now. Returns the states of the servers whose process is gone. */
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
     * Chooses the best server of [service] for a request of this VM; null when no server may get it.
     *
     * @param failedServers servers that must not get the request again.
     * @param rejectingServers servers that get the request only when there is no other.
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
                .filter { it.id !in failedServers && maySendNow(it, service, now) && hasAllowance(it, now) }
                .filterByVersion(service.name, request.id, isRetry = failedServers.isNotEmpty(), now)
                .filterByPromptLength(demand, findShortPromptServers(service.name, engineTokens))
        val untried = eligible.filter { it.id !in rejectingServers }
        val candidates = if (untried.isEmpty() && rejectingServers.size <= eligible.size) eligible else untried
        val responsive = candidates.filterNot { it.isSilent(SILENCE_THRESHOLD, now) }.ifEmpty { candidates }
        val healthy = responsive.filter { now >= it.health.avoidUntil }.ifEmpty { responsive }
        val context =
            ScoreContext(options.zone, nodes.size, isShared = false, engineTokens, findShortPromptServers(service.name, engineTokens))
        return scoreServers(demand, healthy, context, now).firstOrNull()
    }

    /**
     * Ranks the servers that may get the request of [question] by the load of all VMs, the best one first.
     *
     * @param reserved tokens that requests ahead of this one will have prefilled, by server.
     * @param urgentRequests more urgent requests that wait until they may be sent to any server with a request limit.
     */
    fun rank(
        question: PoolQuestion,
        reserved: Map<String, Int>,
        urgentRequests: Int,
        now: Instant,
    ): List<ServerScore> {
        val service = question.report.service
        val demand = ServerDemand(question.requestId, question.parts, question.outputTokens)
        val engineTokens = question.engineTokens.takeIf { it > 0 }
        val reservedForShortPrompts = findShortPromptServers(service, engineTokens)
        val eligible =
            candidatesFor(question, now)
                .filterByAllowance(urgentRequests, now)
                .filterByVersion(service, question.requestId, isRetry = question.hasBegun, now)
                .filterByPromptLength(demand, reservedForShortPrompts)
        val healthy = eligible.filter { now >= it.health.avoidUntil }.ifEmpty { eligible }
        val context = ScoreContext(question.zone, nodes.size, isShared = true, engineTokens, reservedForShortPrompts, reserved)
        return scoreServers(demand, healthy, context, now)
    }

    /** Servers that may get the request of [question], whatever their request limits and loads. */
    private fun candidatesFor(
        question: PoolQuestion,
        now: Instant,
    ): List<ServerState> = serversOf(question.report.service, now).filter {
        it.id !in question.excluded && (!it.isCold(now) || it.id in question.cold)
    }

    /** Leaves out the servers of the version that the request does not go to, if the service is under roll-out. */
    private fun List<ServerState>.filterByVersion(
        service: String,
        requestId: String,
        isRetry: Boolean,
        now: Instant,
    ): List<ServerState> {
        val share = versionShares[service] ?: return this
        return share.filter(this, requestId, isRetry, serversOf(service, now)) { VersionedServer(it.id, it.known.server.version) }
    }

    /** Leaves out servers with a request limit that is used up, or whose last requests are left to the more urgent ones. */
    private fun List<ServerState>.filterByAllowance(
        urgentRequests: Int,
        now: Instant,
    ): List<ServerState> {
        if (limits.isEmpty) return this
        val allowances = associateWith { limits.available(it.known.server, now) }
        val areReserved = allowances.values.sumOf { it ?: 0 } <= urgentRequests
        return filter { server -> allowances[server].let { it == null || (it > 0 && !areReserved) } }
    }

    /** Requests per second that the servers with a request limit take together, of those that may get [question]. */
    fun limitedRequestsPerSecond(
        question: PoolQuestion,
        now: Instant,
    ): Double = candidatesFor(question, now).sumOf { limits.limitOf(it.known.server) ?: 0.0 }

    /** Whether any server of [service] has a request limit. */
    fun hasLimits(service: String): Boolean = serversToCheck(service).any { limits.isLimited(it) }

    /** What this VM knows of the request limits of the servers of [service]. */
    fun reportLimits(
        service: String,
        now: Instant,
    ): List<ReportedLimit> = limits.report(serversToCheck(service), now)

    /** Returns the request limits of the servers of [service] and gives away what this VM may send under them. */
    fun handOverLimits(
        service: String,
        now: Instant,
    ): List<ReportedLimit> = limits.handOver(serversToCheck(service), now)

    /** The servers of [service]; none while no limit is known, which spares the search. */
    private fun serversToCheck(service: String): List<BackendServer> =
        if (limits.isEmpty) emptyList() else servers.values.map { it.known.server }.filter { it.service == service }

    /** Whether this VM may now send a request to [server] as far as the server's request limit is concerned. */
    fun hasAllowance(
        server: ServerState,
        now: Instant,
    ): Boolean = limits.isEmpty || limits.available(server.known.server, now).let { it == null || it > 0 }

    /**
     * Servers of [service] that this VM would not choose now: they failed recently, don't respond, or take no new
     * requests.
     */
    fun avoidedServers(
        service: ServiceDefinition,
        now: Instant,
    ): Set<String> = servers.values.filter { it.known.server.service == service.name && it.shouldAvoid(now) }.mapTo(HashSet()) { it.id }

    private fun ServerState.shouldAvoid(now: Instant) =
        now < health.avoidUntil || isSilent(SILENCE_THRESHOLD, now) || !availability.isAvailable(now)

    /** Cold servers of [service] to which this VM may send one request now. */
    fun sendableColdServers(
        service: ServiceDefinition,
        now: Instant,
    ): Set<String> = serversOf(service.name, now).filter { it.isCold(now) && maySendNow(it, service, now) }.mapTo(HashSet()) { it.id }

    /** Returns the server that [advice] names, if this VM may still send a request of [service] to it. */
    fun resolveAdvice(
        advice: PoolAdvice,
        service: ServiceDefinition,
        now: Instant,
    ): ServerState? =
        servers[advice.server]?.takeIf {
            it.known.server.incarnation == advice.incarnation && it.zone !in zonesTakenOut &&
                it.availability.isAvailable(now) && maySendNow(it, service, now) &&
                versionShares[service.name]?.allows(it.known.server.version) != false
        }

    /** Records that a request is sent to [server]. */
    fun recordSent(
        server: ServerState,
        now: Instant,
    ) {
        if (server.isCold(now)) cold.recordSend(server.id, now)
    }

    /** Servers of [service] that take new requests and are not in a zone that is taken out. */
    fun serversOf(
        service: String,
        now: Instant,
    ): List<ServerState> = servers.values.filter {
        it.known.server.service == service && it.zone !in zonesTakenOut &&
            it.availability.isAvailable(now)
    }

    private fun availabilityOf(known: KnownServer) = availabilities.of(known.server.id, known.server.incarnation)

    /** Applies the notice of the process of the server [id] that started at [incarnation]. */
    fun recordNotice(
        id: String,
        incarnation: Long,
        notice: ServerNotice,
        now: Instant,
    ) {
        availabilities.of(id, incarnation).recordNotice(notice, returnPosition(options.node, id), now)
        notice.limit?.let { limits.recordLimit(id, incarnation, it, now) }
    }

    /** Returns when the first of the paused servers of [services] takes requests again; null if none is paused. */
    fun findNextAvailableTime(
        services: List<ServiceDefinition>,
        now: Instant,
    ): Instant? {
        val names = services.mapTo(HashSet()) { it.name }
        return servers.values
            .filter {
                it.known.server.service in names && it.zone !in zonesTakenOut && !it.availability.isLeaving &&
                    it.availability.pausedUntil > now
            }
            .minOfOrNull { it.availability.pausedUntil }
    }

    private fun maySendNow(
        server: ServerState,
        service: ServiceDefinition,
        now: Instant,
    ): Boolean = !server.isCold(now) || cold.allows(server.id, service.coldRequestsPerSecond, nodes, now)

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
        // Longer than a busy server takes between two responses, short against the time that callers wait.
        val SILENCE_THRESHOLD = 800.milliseconds
    }
}

/**
 * Filters the servers that may get [demand]. Long prompts avoid the engines in [shortPromptServers] while there is any
 * other server, even a failing one: under overload, late answers make all other servers look unhealthy.
 */
private fun List<ServerState>.filterByPromptLength(
    demand: ServerDemand,
    shortPromptServers: Set<String>,
): List<ServerState> {
    if (!isLong(demand.promptTokens)) return this
    return filter { it.id !in shortPromptServers }.ifEmpty { this }
}

/** Spreads the VMs evenly over 0 up to 1 for each server. */
private fun returnPosition(
    node: String,
    server: String,
): Double = ("$node $server".hashCode() and Int.MAX_VALUE) / (Int.MAX_VALUE + 1.0)
