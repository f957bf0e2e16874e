/*
 * Test fixture: entry VMs send to backend servers that name request limits in their answers, in virtual time. What the
 * servers get is counted at the servers. VMs can be cut off from each other, frozen and restarted.
 */
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.backend.KnownServer
import org.ragwortlever.core.backend.RequestLimit
import org.ragwortlever.core.backend.ServerFailure
import org.ragwortlever.core.backend.ServerNotice
import org.ragwortlever.core.backend.server
import org.ragwortlever.core.route.EngineSize
import org.ragwortlever.core.route.Route
import org.ragwortlever.core.route.RouteKind
import org.ragwortlever.core.route.ServiceDefinition
import org.ragwortlever.core.route.WeightedService
import org.ragwortlever.core.simulation.VirtualNetwork
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** A request that arrived at [server]; [toldAt] is when its VM first heard the current limit, null if it did not. */
internal class LimitedArrival(
    val server: String,
    val vm: String,
    val tier: Int,
    val at: Instant,
    val toldAt: Instant?,
)

/** The largest number of requests that a server got within [LimitedServerSimulation.WINDOW], beyond what was allowed. */
internal data class LimitExcess(
    val server: String,
    val requests: Int,
    val allowed: Double,
    val at: Duration,
)

internal class LimitedServerSimulation(
    vms: Int,
    private val servers: Int,
    seed: Int,
    engine: EngineSize? = EngineSize(64, 200_000),
) {
    val network = VirtualNetwork(Random(seed))
    val names = List(vms) { "vm-$it" }
    val serverNames = List(servers) { "server-$it" }
    private val service = ServiceDefinition("engines", 100, coldRequestsPerSecond = 8.0, engine = engine)
    private val dispatchers = HashMap<String, Dispatcher>()
    private val frozenUntil = HashMap<String, Instant>()
    private val tiers = HashMap<Long, Int>()
    private val limits = HashMap<String, Double>()
    private val limitChanges = HashMap<String, MutableList<Pair<Instant, Double?>>>()
    private val toldAt = HashMap<Pair<String, String>, Instant>()
    private val incarnations = HashMap<String, Long>()
    private var nextKey = 0L
    private var nextPart = 0L
    val arrivals = ArrayList<LimitedArrival>()
    val refusals = ArrayList<DispatchEffect.Refuse>()
    var submitted = 0
    var answered = 0

    init {
        names.forEach(::restart)
    }

    /** Replaces the process of [vm] with a new one. */
    fun restart(vm: String) {
        dispatchers[vm] = Dispatcher(DispatchOptions(vm, "a"))
        toldAt.keys.removeAll { it.first == vm }
        handle(vm, DispatchEvent.NodesChanged(names.toSet(), names.associateWith { 1.0 }))
        announce(vm)
    }

    fun freeze(
        vm: String,
        time: Duration,
    ) {
        frozenUntil[vm] = network.now + time
    }

    /** Sets what [server] names as its limit in answers from now on; null for none. */
    fun setLimit(
        server: String,
        requestsPerSecond: Double?,
    ) {
        if (requestsPerSecond == null) limits.remove(server) else limits[server] = requestsPerSecond
        limitChanges.getOrPut(server) { ArrayList() } += network.now to requestsPerSecond
        toldAt.keys.removeAll { it.second == server }
    }

    /** Starts a new process of [server], which has no limit. */
    fun restartServer(server: String) {
        incarnations[server] = incarnationOf(server) + 1
        setLimit(server, null)
        names.forEach(::announce)
    }

    /** Submits [perSecond] requests a second at random VMs for [time]. */
    fun load(
        perSecond: Double,
        time: Duration,
        tier: Int = 1,
    ) {
        val count = (perSecond * time.toDouble(DurationUnit.SECONDS)).toInt()
        repeat(count) { network.after(time * network.random.nextDouble()) { submit(names.random(network.random), tier) } }
    }

    private fun submit(
        vm: String,
        tier: Int,
        timeout: Duration = 5.seconds,
    ) {
        val key = ++nextKey
        tiers[key] = tier
        submitted++
        val route = Route("route", "host", "/", listOf(WeightedService("engines", 1)), RouteKind.IDEMPOTENT, timeout, 1.seconds)
        val parts = if (service.engine ==
            null
        ) {
            emptyList()
        } else {
            listOf(PromptPart("own-${++nextPart}", PROMPT_TOKENS.random(network.random)))
        }
        val request = RoutedRequest(key, "request-$key", route, listOf(service), "account", tier, parts, 50, "", network.now + timeout)
        handle(vm, DispatchEvent.RequestSubmitted(request))
    }

    /** Requests beyond the allowance of 1.5 times the limit and 5 requests in any window, from VMs that were told. */
    fun worstExcess(includeUntold: Boolean = false): LimitExcess? =
        limitChanges.keys.mapNotNull { worstExcess(it, includeUntold) }.maxByOrNull { it.requests - it.allowed }

    fun sentTo(server: String): Int = arrivals.count { it.server == server }

    private fun worstExcess(
        server: String,
        includeUntold: Boolean,
    ): LimitExcess? {
        val counted = arrivals.filter { it.server == server && limitAt(server, it.at) != null && it.isCounted(includeUntold) }
        return counted
            .map { last ->
                val window = counted.filter { it.at > last.at - WINDOW && it.at <= last.at }
                val limit = window.maxOf { checkNotNull(limitAt(server, it.at)) }
                LimitExcess(server, window.size, limit * WINDOW.inWholeSeconds * 1.5 + 5, last.at - VirtualNetwork.START)
            }.filter { it.requests > it.allowed }
            .maxByOrNull { it.requests - it.allowed }
    }

    private fun LimitedArrival.isCounted(includeUntold: Boolean): Boolean {
        val since = toldAt ?: limitChanges.getValue(server).last { it.first <= at }.first.takeIf { includeUntold } ?: return false
        return at - since >= if (toldAt == null) 1.5.seconds else 500.milliseconds
    }

    private fun limitAt(
        server: String,
        at: Instant,
    ): Double? = limitChanges[server]?.lastOrNull { it.first <= at }?.second

    private fun incarnationOf(server: String): Long = incarnations[server] ?: 1

    private fun announce(vm: String) =
        handle(
            vm,
            DispatchEvent.ServersChanged(
                serverNames.map { KnownServer(server(it, incarnation = incarnationOf(it)), Instant.DISTANT_PAST) },
            ),
        )

    /** Runs [action] on [vm] now, or when it thaws. */
    private fun runOn(
        vm: String,
        action: () -> Unit,
    ) {
        val until = frozenUntil[vm] ?: return action()
        if (network.now < until) network.at(until) { runOn(vm, action) } else action()
    }

    private fun handle(
        vm: String,
        event: DispatchEvent,
    ): Unit = runOn(vm) { dispatchers.getValue(vm).handle(event, network.now).forEach { carryOut(vm, it) } }

    private fun carryOut(
        vm: String,
        effect: DispatchEffect,
    ) {
        when (effect) {
            is DispatchEffect.Send -> {
                network.after(THREAD_DELAY) { runOn(vm) { send(vm, effect) } }
            }
            is DispatchEffect.Refuse -> {
                refusals += effect
            }
            is DispatchEffect.Ask -> {
                ask(vm, effect)
            }
            is DispatchEffect.ScheduleReport -> {
                network.after(effect.delay) { handle(vm, DispatchEvent.ReportDue(effect.service)) }
            }
            is DispatchEffect.ScheduleHandOver -> {
                network.after(effect.delay) { handle(vm, DispatchEvent.HandOverDue(effect.service)) }
            }
            is DispatchEffect.ScheduleQuestion -> {
                network.after(effect.delay) { handle(vm, DispatchEvent.QuestionDue(effect.key, effect.number)) }
            }
            is DispatchEffect.Report -> {
                network.send(vm, effect.decider) { handle(effect.decider, DispatchEvent.ReportReceived(effect.report)) }
            }
            is DispatchEffect.ReportCrash, is DispatchEffect.Answer, is DispatchEffect.CheckServer, is DispatchEffect.ReportQuarantine -> {
                Unit
            }
        }
    }

    private fun ask(
        vm: String,
        ask: DispatchEffect.Ask,
    ) {
        var isOver = false

        fun finish(reply: PoolReply?) {
            if (isOver) return
            isOver = true
            handle(vm, DispatchEvent.AnswerReceived(ask.key, ask.question.number, reply))
        }
        network.after(ANSWER_TIMEOUT) { runOn(vm) { finish(null) } }
        network.send(vm, ask.decider) {
            runOn(ask.decider) {
                val effects = dispatchers.getValue(ask.decider).handle(DispatchEvent.QuestionReceived(ask.question), network.now)
                val reply = effects.filterIsInstance<DispatchEffect.Answer>().single().reply
                network.send(ask.decider, vm) { runOn(vm) { finish(reply) } }
            }
        }
    }

    private fun send(
        vm: String,
        send: DispatchEffect.Send,
    ) {
        val name = send.server.server.id
        val incarnation = send.server.server.incarnation
        if (send.isExpired(network.now)) {
            return handle(vm, DispatchEvent.AttemptEnded(send.key, AttemptEnd.NotRun(ServerFailure.EXPIRED)))
        }
        network.after(HOP) {
            if (incarnation != incarnationOf(name)) {
                return@after handle(vm, DispatchEvent.AttemptEnded(send.key, AttemptEnd.NotRun(ServerFailure.REPLACED)))
            }
            arrivals += LimitedArrival(name, vm, tiers.getValue(send.key), network.now, toldAt[vm to name])
            network.after(network.random.nextInt(50, 300).milliseconds) { answer(vm, send) }
        }
    }

    private fun answer(
        vm: String,
        send: DispatchEffect.Send,
    ) {
        val name = send.server.server.id
        limits[name]?.let { limit ->
            runOn(vm) { toldAt.putIfAbsent(vm to name, network.now) }
            val notice = ServerNotice(limit = RequestLimit.PerSecond(limit))
            handle(vm, DispatchEvent.ServerNoticeReceived(name, send.server.server.incarnation, notice))
        }
        handle(vm, DispatchEvent.FirstByteReceived(send.key))
        handle(vm, DispatchEvent.AttemptEnded(send.key, AttemptEnd.Answered))
        answered++
    }

    companion object {
        val WINDOW = 4.seconds
        private val HOP = 1.milliseconds

        // Short and long prompts go to different servers.
        private val PROMPT_TOKENS = listOf(300, 3000)
        private val THREAD_DELAY = 200.microseconds
        private val ANSWER_TIMEOUT = 30.milliseconds
    }
}
