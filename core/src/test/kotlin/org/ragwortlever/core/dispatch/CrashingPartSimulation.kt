// Test fixture: entry VMs, engines and callers in virtual time, where one part of a prompt crashes the engine that runs it.
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.backend.KnownServer
import org.ragwortlever.core.backend.ServerFailure
import org.ragwortlever.core.backend.server
import org.ragwortlever.core.route.EngineSize
import org.ragwortlever.core.route.Route
import org.ragwortlever.core.route.RouteKind
import org.ragwortlever.core.route.ServiceDefinition
import org.ragwortlever.core.route.WeightedService
import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Entry VMs `vm-0` and so on that send to the engines `engine-0` and so on, three of them a zone. Messages between VMs take
 * no time. An engine that crashes refuses connections and is back under a new incarnation after [RESTART_TIME].
 */
internal class CrashingPartSimulation(
    vms: Int = 8,
    private val engines: Int = 12,
) {
    private class Scheduled(
        val at: Instant,
        val order: Long,
        val action: () -> Unit,
    )

    private class Attempt(
        val vm: String,
        val request: RoutedRequest,
        val engine: String,
    )

    val start = Instant.fromEpochSeconds(1000)
    var now = start
        private set
    private val queue = PriorityQueue<Scheduled>(compareBy({ it.at }, { it.order }))
    private var nextOrder = 0L
    private var nextKey = 0L
    private val dispatchers = LinkedHashMap<String, Dispatcher>()
    private val incarnations = HashMap<String, Long>()
    private val down = HashSet<String>()
    private val running = LinkedHashMap<Long, Attempt>()

    /** VMs that no other VM and no broadcast reaches, and that reach no other VM. */
    val cutOff = HashSet<String>()

    /** Whether deciders answer that they know no server, so that each VM chooses by itself. */
    var decidersKnowNoServer = false

    /** Whether what is found is kept from VMs that start later. */
    var isStoreDown = false
    private val stored = ArrayList<QuarantinedPart>()

    /** Parts that deciders have found, in order. */
    val found = ArrayList<String>()

    /** Part that crashes the engine that begins to answer a request with it; null for a run without one. */
    var culprit: String? = "culprit"

    /** Times of all crashes that the culprit caused. */
    val crashes = ArrayList<Instant>()

    /** Times at which requests with the culprit reached an engine. */
    val culpritsAtEngines = ArrayList<Instant>()
    var soundSubmitted = 0
        private set

    /** Sound requests that an engine began at their first attempt. */
    var soundBegun = 0
        private set

    /** Sound requests that were refused as content that crashes servers. */
    var soundQuarantined = 0
        private set

    init {
        repeat(engines) { incarnations["engine-$it"] = 1 }
        repeat(vms) { dispatchers["vm-$it"] = Dispatcher(DispatchOptions("vm-$it", "a")) }
        dispatchers.keys.forEach(::introduce)
    }

    val vmNames: List<String> get() = dispatchers.keys.toList()

    /** Adds the VM [name], which has just started, to the fleet. */
    fun startVm(name: String) {
        dispatchers[name] = Dispatcher(DispatchOptions(name, "a"))
        dispatchers.keys.forEach(::introduce)
        handle(name, DispatchEvent.QuarantineReceived(stored))
    }

    /** Removes the VM [name] with all that it knew. */
    fun stopVm(name: String) {
        dispatchers.remove(name)
        running.values.removeIf { it.vm == name }
        dispatchers.keys.forEach(::introduce)
    }

    private fun introduce(vm: String) {
        handle(vm, DispatchEvent.NodesChanged(dispatchers.keys.toSet(), dispatchers.keys.associateWith { 1.0 }))
        handle(vm, DispatchEvent.ServersChanged(knownServers()))
    }

    private fun knownServers() = incarnations.map { (id, incarnation) -> KnownServer(announcement(id, incarnation), Instant.DISTANT_PAST) }

    private fun announcement(
        id: String,
        incarnation: Long,
    ) = server(id, zone = "zone-${id.substringAfter('-').toInt() * 3 / engines}", incarnation = incarnation)

    fun at(
        time: Duration,
        action: () -> Unit,
    ) {
        queue += Scheduled(start + time, nextOrder++, action)
    }

    private fun after(
        delay: Duration,
        action: () -> Unit,
    ) {
        queue += Scheduled(now + delay, nextOrder++, action)
    }

    fun runUntil(time: Duration) {
        while (queue.isNotEmpty() && queue.peek().at <= start + time) {
            val next = queue.poll()
            now = maxOf(now, next.at)
            next.action()
        }
    }

    /** Submits a request with the shared [parts] and one of its own at [vm]; [own] is null for one that no other has. */
    fun submit(
        vm: String,
        parts: List<String>,
        isResumable: Boolean = false,
        own: String? = null,
    ) {
        if (vm !in dispatchers) return
        val key = ++nextKey
        val route =
            Route(
                "route",
                "host",
                "/",
                listOf(WeightedService("engines", 1)),
                RouteKind.STREAM,
                5.seconds,
                1.seconds,
                maximumAttempts = 2,
                isResumable = isResumable,
            )
        val prompt = parts.map { PromptPart(it, 500) } + PromptPart(own ?: "own-$key", 100)
        val request = RoutedRequest(
            key,
            "request-$key",
            route,
            listOf(SERVICE),
            "account",
            1,
            prompt,
            50,
            "digest-${own ?: key}",
            now + 5.seconds,
        )
        if (!request.isCulprit) soundSubmitted++
        handle(vm, DispatchEvent.RequestSubmitted(request), request)
    }

    /** The engine that runs the request which was sent last; null if none runs. */
    fun engineOfLast(): String? = running.values.lastOrNull()?.engine

    /** Ends the process of [engine] and with it all that runs there. */
    fun crash(engine: String) {
        if (!down.add(engine)) return
        val lost = running.values.filter { it.engine == engine }
        lost.forEach { running.remove(it.request.key) }
        lost.forEach {
            handle(it.vm, DispatchEvent.AttemptEnded(it.request.key, AttemptEnd.Failed(ServerFailure.BROKEN)), it.request)
        }
        after(RESTART_TIME) {
            down -= engine
            incarnations[engine] = incarnations.getValue(engine) + 1
            dispatchers.keys.forEach { handle(it, DispatchEvent.ServersChanged(knownServers())) }
        }
    }

    private val RoutedRequest.isCulprit get() = parts.any { it.id == culprit }

    private fun handle(
        vm: String,
        event: DispatchEvent,
        request: RoutedRequest? = null,
    ) {
        val effects = dispatchers[vm]?.handle(event, now) ?: return
        effects.forEach { carryOut(vm, it, request) }
    }

    private fun carryOut(
        vm: String,
        effect: DispatchEffect,
        request: RoutedRequest?,
    ) {
        when (effect) {
            is DispatchEffect.Ask -> {
                ask(vm, effect, checkNotNull(request))
            }
            is DispatchEffect.Send -> {
                send(vm, effect, checkNotNull(request))
            }
            is DispatchEffect.Refuse -> {
                if (request?.isCulprit == false && effect.isQuarantine) soundQuarantined++
            }
            is DispatchEffect.Report -> {
                if (canReach(vm, effect.decider)) handle(effect.decider, DispatchEvent.ReportReceived(effect.report))
            }
            is DispatchEffect.ScheduleReport -> {
                after(effect.delay) { handle(vm, DispatchEvent.ReportDue(effect.service)) }
            }
            is DispatchEffect.ScheduleQuestion -> {
                after(effect.delay) { handle(vm, DispatchEvent.QuestionDue(effect.key, effect.number), request) }
            }
            is DispatchEffect.CheckServer -> {
                check(vm, effect.server)
            }
            is DispatchEffect.ReportQuarantine -> {
                announce(vm, effect.part)
            }
            else -> {
                Unit
            }
        }
    }

    private fun check(
        vm: String,
        server: BackendServer,
    ) = after(CHECK_TIME) {
        if (server.id in down) handle(vm, DispatchEvent.ServerUnreachable(server.id, server.incarnation))
    }

    /** Tells the other VMs at once and keeps the part for VMs that start later, unless the store is down. */
    private fun announce(
        vm: String,
        part: QuarantinedPart,
    ) {
        found += part.part
        if (!isStoreDown) stored += part
        dispatchers.keys.filter { it != vm && canReach(vm, it) }.forEach { handle(it, DispatchEvent.QuarantineReceived(listOf(part))) }
    }

    private val DispatchEffect.Refuse.isQuarantine get() = refusal.kind.code == "request-quarantined"

    private fun canReach(
        from: String,
        to: String,
    ) = to in dispatchers && from !in cutOff && to !in cutOff

    private fun ask(
        vm: String,
        ask: DispatchEffect.Ask,
        request: RoutedRequest,
    ) {
        if (!canReach(vm, ask.decider)) {
            after(30.milliseconds) { handle(vm, DispatchEvent.AnswerReceived(ask.key, ask.question.number, null), request) }
            return
        }
        val effects = dispatchers.getValue(ask.decider).handle(DispatchEvent.QuestionReceived(ask.question), now)
        effects.filterNot { it is DispatchEffect.Answer }.forEach { carryOut(ask.decider, it, null) }
        val answered = effects.filterIsInstance<DispatchEffect.Answer>().single().reply
        val reply = if (decidersKnowNoServer) answered.copy(answer = PoolAnswer.NoServer) else answered
        handle(vm, DispatchEvent.AnswerReceived(ask.key, ask.question.number, reply), request)
    }

    private fun send(
        vm: String,
        send: DispatchEffect.Send,
        request: RoutedRequest,
    ) {
        val engine = send.server.server.id
        if (engine in down) {
            after(3.milliseconds) {
                handle(vm, DispatchEvent.AttemptEnded(request.key, AttemptEnd.NotRun(ServerFailure.UNREACHABLE)), request)
            }
            return
        }
        val attempt = Attempt(vm, request, engine)
        running[request.key] = attempt
        if (request.isCulprit) culpritsAtEngines += now
        after(FIRST_BYTE_TIME) { if (running[request.key] === attempt) begin(attempt, send.attempt) }
        after(RUN_TIME) { if (running[request.key] === attempt) complete(attempt) }
    }

    private fun begin(
        attempt: Attempt,
        number: Int,
    ) {
        if (attempt.request.isCulprit) {
            crashes += now
            return crash(attempt.engine)
        }
        if (number == 1) soundBegun++
        handle(attempt.vm, DispatchEvent.FirstByteReceived(attempt.request.key), attempt.request)
    }

    private fun complete(attempt: Attempt) {
        running.remove(attempt.request.key)
        handle(attempt.vm, DispatchEvent.AttemptEnded(attempt.request.key, AttemptEnd.Answered), attempt.request)
    }

    companion object {
        val SERVICE = ServiceDefinition("engines", 100, coldRequestsPerSecond = 8.0, engine = EngineSize(64, 200_000))
        val RESTART_TIME = 3.seconds
        private val CHECK_TIME = 30.milliseconds
        private val FIRST_BYTE_TIME = 80.milliseconds
        private val RUN_TIME = 900.milliseconds
    }
}
