/*
 * Decides for each routed request which backend server gets it, whether a failed attempt is repeated, and when the
 * request is refused. It runs on one thread, takes events with the present time and returns the effects to carry out.
 */
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.admission.DecayedRate
import org.ragwortlever.core.backend.ColdBudget
import org.ragwortlever.core.backend.KnownServer
import org.ragwortlever.core.backend.ServerFailure
import org.ragwortlever.core.error.ErrorKind
import org.ragwortlever.core.error.Executed
import org.ragwortlever.core.error.Refusal
import org.ragwortlever.core.fleet.ServiceLoad
import org.ragwortlever.core.retry.CrashSuspects
import org.ragwortlever.core.route.RouteKind
import org.ragwortlever.core.route.ServiceDefinition
import kotlin.math.roundToInt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * The place and bounds of one dispatcher.
 *
 * @property node name of this entry VM, as in [DispatchEvent.NodesChanged].
 */
data class DispatchOptions(
    val node: String,
    val zone: String,
    val repeats: RepeatBound = RepeatBound(),
)

/** Decides over the routed requests of one entry VM. Not thread-safe: the control thread owns it. */
class Dispatcher(
    private val options: DispatchOptions,
) {
    private val servers = HashMap<String, ServerState>()
    private val open = HashMap<Long, OpenRequest>()
    private val allowances = HashMap<String, RepeatAllowance>()
    private val suspects = CrashSuspects()
    private val cold = ColdBudget(options.node)
    private val readRates = HashMap<String, DecayedRate>()
    private var nodes = setOf(options.node)
    private var zonesTakenOut = emptySet<String>()

    /** Requests that are not answered yet. */
    val openRequests: Int get() = open.size

    /** What the callers of this node ask of each service. */
    fun load(now: Instant): Map<String, ServiceLoad> =
        readRates.mapValues { (service, rate) ->
            // Rounded, so that an idle system does not look changed all the time.
            val seconds = (rate.perSecond(now) * LOAD_STEPS).roundToInt() / LOAD_STEPS
            ServiceLoad(seconds, open.values.count { it.running?.server?.known?.server?.service == service })
        }

    fun handle(
        event: DispatchEvent,
        now: Instant,
    ): List<DispatchEffect> {
        val effects = ArrayList<DispatchEffect>()
        when (event) {
            is DispatchEvent.Submit -> submit(event.request, now, effects)
            is DispatchEvent.FirstByte -> firstByte(event.key, now)
            is DispatchEvent.AttemptEnded -> ended(event, now, effects)
            is DispatchEvent.CallerGone -> close(event.key)
            is DispatchEvent.ServersChanged -> replaceServers(event.servers, now, effects)
            is DispatchEvent.ZonesTakenOut -> zonesTakenOut = event.zones
            is DispatchEvent.NodesChanged -> replaceNodes(event.nodes)
            is DispatchEvent.CrashReported -> event.digests.forEach { suspects.failed(it, event.server, event.zone, now) }
        }
        return effects
    }

    private fun submit(
        request: RoutedRequest,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        if (suspects.isRefused(request.digest, now)) {
            effects += DispatchEffect.Refuse(request.key, Refusal(ErrorKind.REQUEST_QUARANTINED, "equal requests crashed backend servers"))
            return
        }
        if (request.deadline - now < LEAST_TIME_FOR_SEND) {
            effects +=
                DispatchEffect.Refuse(request.key, Refusal(ErrorKind.WAIT_EXCEEDED, "the caller's wait ends before a server could answer"))
            return
        }
        request.services.firstOrNull()?.let { allowance(it).requested(now) }
        val opened = OpenRequest(request)
        open[request.key] = opened
        send(opened, now, effects)
    }

    private fun firstByte(
        key: Long,
        now: Instant,
    ) {
        val attempt = open[key]?.running ?: return
        attempt.firstByteAt = now
        attempt.server.heard(now)
    }

    private fun ended(
        event: DispatchEvent.AttemptEnded,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val opened = open[event.key] ?: return
        val attempt = opened.running ?: return
        attempt.server.running.remove(event.key)
        opened.running = null
        when (val end = event.end) {
            AttemptEnd.Answered -> {
                attempt.server.health.succeeded(now)
                attempt.server.heard(now)
                suspects.completed(opened.request.digest, now)
                open.remove(event.key)
            }
            is AttemptEnd.NotRun -> {
                attempt.server.health.failed(end.failure, now)
                if (end.failure == ServerFailure.UNREACHABLE) confirmCrash(attempt.server, now, effects)
                opened.refused += attempt.server.id
                repeat(opened, end.failure, mayHaveRun = opened.mayHaveRun, now, effects)
            }
            is AttemptEnd.Failed -> {
                attempt.server.health.failed(end.failure, now)
                opened.mayHaveRun = true
                opened.failed += attempt.server.id
                if (end.failure == ServerFailure.BROKEN) attempt.server.brokeOff(opened.request.digest, now)
                if (opened.request.route.isRepeatable && end.canResume) {
                    repeat(opened, end.failure, mayHaveRun = true, now, effects)
                } else {
                    refuse(opened, failed(end.failure), effects)
                }
            }
        }
    }

    private fun repeat(
        opened: OpenRequest,
        failure: ServerFailure,
        mayHaveRun: Boolean,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val request = opened.request
        val timeLeft = request.deadline - now
        val refusal = if (mayHaveRun) failed(failure) else unavailable("the last server: $failure")
        when {
            timeLeft < LEAST_TIME_FOR_SEND -> refuse(opened, refusal, effects)
            opened.failed.size >= request.route.maximumAttempts -> refuse(opened, refusal, effects)
            opened.sends >= MAXIMUM_SENDS -> refuse(opened, refusal, effects)
            suspects.isRefused(request.digest, now) -> refuse(opened, refusal, effects)
            // A send that never reached the server is no arrival there and costs nothing.
            failure != ServerFailure.UNREACHABLE && !allowance(request.services.first()).tryTake(now) -> refuse(opened, refusal, effects)
            else -> send(opened, now, effects)
        }
    }

    private fun send(
        opened: OpenRequest,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val request = opened.request
        val best = request.services.firstNotNullOfOrNull { choose(opened, it, now) }
        if (best == null) {
            refuse(
                opened,
                if (opened.mayHaveRun) failed(ServerFailure.UNREACHABLE) else unavailable("no backend server can take it"),
                effects,
            )
            return
        }
        val server = best.server
        val attempt = RunningAttempt(request, server, now, best.uncachedTokens, opened.sends + 1)
        opened.sends++
        opened.running = attempt
        server.running[request.key] = attempt
        server.sent(request.parts, now)
        readRates.getOrPut(server.known.server.service) {
            DecayedRate(LOAD_HALF_LIFE)
        }.add(best.uncachedTokens / PROMPT_TOKENS_PER_SECOND, now)
        if (server.isCold(now)) cold.sent(server.id, now)
        effects += DispatchEffect.Send(request.key, server.known, attempt.number, patience(opened, now), "score=%.3f".format(best.seconds))
    }

    private fun choose(
        opened: OpenRequest,
        service: ServiceDefinition,
        now: Instant,
    ): ServerScore? {
        val possible =
            servers.values.filter { server ->
                server.known.server.service == service.name &&
                    server.zone !in zonesTakenOut &&
                    server.id !in opened.failed &&
                    (!server.isCold(now) || cold.allows(server.id, service.coldPerSecond, nodes, now))
            }
        val fresh = possible.filter { it.id !in opened.refused }.ifEmpty {
            if (opened.refused.size >
                possible.size
            ) {
                emptyList()
            } else {
                possible
            }
        }
        val speaking = fresh.filterNot { it.isSilent(SILENCE, now) }.ifEmpty { fresh }
        val sound = speaking.filter { now >= it.health.avoidUntil }.ifEmpty { speaking }
        return scoreServers(opened.request, sound, scoreContext(service), now).firstOrNull()
    }

    private fun scoreContext(service: ServiceDefinition): ScoreContext {
        val engines = if (service.engine == null) emptyList() else servers.values.filter { it.known.server.service == service.name }
        return ScoreContext(options.zone, nodes.size, serversForShortPrompts(service.name, engines))
    }

    /** A safe request that hears nothing is tried elsewhere while there is time for it. */
    private fun patience(
        opened: OpenRequest,
        now: Instant,
    ): Duration? {
        val route = opened.request.route
        val attemptsLeft = route.maximumAttempts - opened.failed.size
        if (route.kind != RouteKind.IDEMPOTENT || attemptsLeft < 2) return null
        return (opened.request.deadline - now) / attemptsLeft
    }

    /** The process of [server] is gone: whatever broke off on it before may have crashed it. */
    private fun confirmCrash(
        server: ServerState,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val digests = server.takeCrashed(now)
        if (digests.isEmpty()) return
        digests.forEach { suspects.failed(it, server.incarnationName, server.zone, now) }
        effects += DispatchEffect.ReportCrash(server.incarnationName, server.zone, digests)
    }

    private fun refuse(
        opened: OpenRequest,
        refusal: Refusal,
        effects: MutableList<DispatchEffect>,
    ) {
        open.remove(opened.request.key)
        effects += DispatchEffect.Refuse(opened.request.key, refusal)
    }

    private fun close(key: Long) {
        open.remove(key)?.running?.let { it.server.running.remove(key) }
    }

    private fun replaceServers(
        listed: List<KnownServer>,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val incarnations = listed.associate { it.server.id to it.server.incarnation }
        val gone = servers.values.filter { incarnations[it.id] != it.known.server.incarnation }
        gone.forEach {
            servers.remove(it.id)
            confirmCrash(it, now, effects)
        }
        listed.forEach { known ->
            val state = servers[known.server.id]
            if (state == null) servers[known.server.id] = ServerState(known) else state.known = known
        }
    }

    private fun replaceNodes(changed: Set<String>) {
        if (changed.size != nodes.size) allowances.clear()
        nodes = changed + options.node
    }

    private fun allowance(service: ServiceDefinition) = allowances.getOrPut(service.name) { RepeatAllowance(options.repeats, nodes.size) }

    private companion object {
        // Nearly every server needs longer than this, so the request would run for nobody.
        val LEAST_TIME_FOR_SEND = 20.milliseconds

        // Refusals by full servers cost no run, but each costs a round trip and an arrival.
        const val MAXIMUM_SENDS = 4

        // Longer than a busy server takes for its next sign of life, short against the time that callers wait.
        val SILENCE = 800.milliseconds
        const val LOAD_STEPS = 100.0

        // Long enough to even out single long prompts, short against the time in which a new server starts.
        val LOAD_HALF_LIFE = 2.seconds
    }
}

/** A request that is not answered yet. */
private class OpenRequest(
    val request: RoutedRequest,
) {
    var running: RunningAttempt? = null
    var sends = 0
    var mayHaveRun = false

    /** Servers on which an attempt may have run. */
    val failed = HashSet<String>()

    /** Servers that did not run the request. */
    val refused = HashSet<String>()
}

private val ServerState.incarnationName: String get() = "$id@${known.server.incarnation}"

private fun failed(failure: ServerFailure): Refusal {
    val kind = if (failure == ServerFailure.SILENT) ErrorKind.BACKEND_SERVER_SILENT else ErrorKind.BACKEND_SERVER_FAILED
    return Refusal(kind, "the backend server's failure: $failure", Executed.UNKNOWN)
}

private fun unavailable(detail: String) = Refusal(ErrorKind.NO_BACKEND_SERVER, detail, Executed.NO, RETRY_AFTER_SECONDS)

// Failed servers are tried again after about this time.
private const val RETRY_AFTER_SECONDS = 1
