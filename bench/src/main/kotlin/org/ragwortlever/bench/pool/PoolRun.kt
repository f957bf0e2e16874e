/*
 * One run: the dispatchers of many entry VMs send to the same engines in virtual time. What is printed is counted at
 * the callers and at the engines, not by the dispatchers.
 */
package org.ragwortlever.bench.pool

import kotlinx.serialization.Serializable
import org.ragwortlever.bench.simulation.EventQueue
import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.backend.KnownServer
import org.ragwortlever.core.backend.RequestLimit
import org.ragwortlever.core.backend.ServerFailure
import org.ragwortlever.core.backend.ServerNotice
import org.ragwortlever.core.dispatch.AttemptEnd
import org.ragwortlever.core.dispatch.DispatchEffect
import org.ragwortlever.core.dispatch.DispatchEvent
import org.ragwortlever.core.dispatch.DispatchOptions
import org.ragwortlever.core.dispatch.Dispatcher
import org.ragwortlever.core.dispatch.RoutedRequest
import org.ragwortlever.core.membership.rendezvousOwner
import org.ragwortlever.core.route.EngineSize
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** What is varied between runs. */
internal data class PoolCell(
    val vms: Int,
    val engines: Int,
    val load: Double,
    val scenario: PoolScenario,
    val seed: Long = 1,
)

/**
 * What a run showed.
 *
 * @property served share of the requests whose first token came within its target.
 * @property late share that was answered later.
 * @property ended share that got nothing by its deadline.
 * @property refused share that was told that it did not run.
 * @property worst lowest served share of a class.
 * @property rereadTokens tokens of shared parts that engines read beyond the first time.
 * @property busiest reading time of the busiest engine against the mean.
 * @property limitUse most requests that an engine with a limit got in any 4 s, against 1.5 times the limit and 5 requests.
 * @property starved requests of a class that got nothing while a less urgent class of larger requests began, beyond one in twelve.
 */
@Serializable
internal data class PoolResult(
    val vms: Int,
    val engines: Int,
    val load: Double,
    val scenario: String,
    val served: Double,
    val late: Double,
    val ended: Double,
    val refused: Double,
    val worst: Double,
    val rereadTokens: Long,
    val busiest: Double,
    val starved: Int,
    val limitUse: Double,
)

private class Caller(
    val request: PoolRequest,
    val vm: Int,
) {
    var firstTokenSeconds: Double? = null
    var isRefused = false
    var job: EngineJob? = null
    var engine: PoolEngine? = null
}

internal class PoolRun(
    private val cell: PoolCell,
) : EngineListener {
    private val queue = EventQueue()
    private val random = Random(cell.seed)
    private val engines = List(cell.engines) { PoolEngine("engine-$it", ZONES[it % ZONES.size], queue, this, cell.scenario.engineTokens) }
    private val byId = engines.associateBy { it.id }
    private val names = List(cell.vms) { "vm-$it" }
    private val dispatchers = names.mapIndexed { index, name -> Dispatcher(DispatchOptions(name, ZONES[index % ZONES.size])) }
    private val callers = HashMap<Long, Caller>()

    /** Entry VMs that answer no other one. */
    private val silent = HashSet<Int>()

    /** Engines that name a limit now. */
    private val limited = HashSet<String>()

    /** Arrivals in seconds at engines that had named a limit at least a second before. */
    private val arrivalsUnderLimit = HashMap<String, ArrayList<Double>>()

    fun run(): PoolResult {
        dispatchers.indices.forEach { vm ->
            tell(vm, DispatchEvent.NodesChanged(names.toSet(), names.associateWith { 1.0 }))
            announce(vm)
        }
        PoolLoad
            .requests(cell.scenario, cell.load * cell.engines * PoolLoad.REQUESTS_PER_ENGINE, RUN_SECONDS, random)
            .forEach { request -> queue.at(request.atSeconds) { submit(request) } }
        faults()
        queue.runUntil((RUN_SECONDS + LONGEST_WAIT_SECONDS).seconds)
        return result()
    }

    private fun faults() {
        val scenario = cell.scenario
        val lost = engines.take((engines.size * scenario.lostShare).toInt())
        val slow = engines.take((engines.size * scenario.slowShare).toInt())
        queue.at(scenario.from) {
            lost.forEach(PoolEngine::crash)
            slow.forEach { it.slowness = SLOWNESS }
            limited += engines.take((engines.size * scenario.limitedShare).toInt()).map { it.id }
        }
        if (scenario.silentDecider) silenceDecider(scenario)
        // The announcement of a crashed server lapses after a few seconds.
        queue.at(scenario.from + LAPSE_SECONDS) { dispatchers.indices.forEach(::announce) }
        queue.at(scenario.until) {
            lost.forEach(PoolEngine::restart)
            slow.forEach { it.slowness = 1.0 }
            limited.clear()
            dispatchers.indices.forEach(::announce)
        }
    }

    private fun silenceDecider(scenario: PoolScenario) {
        queue.at(scenario.from) { rendezvousOwner(PoolLoad.SERVICE, names)?.let { silent += names.indexOf(it) } }
        queue.at(scenario.until) { silent.clear() }
    }

    private fun announce(vm: Int) {
        val incarnation = if (queue.seconds >= cell.scenario.until) 2L else 1L
        val known =
            engines.filter { it.isUp }.map { engine ->
                val server = BackendServer(
                    engine.id,
                    incarnation,
                    PoolLoad.SERVICE,
                    engine.id,
                    engine.zone,
                    PoolLoad.ENGINE_SLOTS,
                    false,
                    Duration.ZERO,
                    false,
                    1,
                )
                KnownServer(server, Instant.DISTANT_PAST)
            }
        tell(vm, DispatchEvent.ServersChanged(known))
    }

    private fun submit(request: PoolRequest) {
        val caller = Caller(request, random.nextInt(cell.vms))
        callers[request.number] = caller
        val kind = request.kind
        val routed =
            RoutedRequest(
                key = request.number,
                id = "request-${request.number}",
                route = kind.route,
                services = listOf(PoolLoad.definition.copy(engine = EngineSize(PoolLoad.ENGINE_SLOTS, cell.scenario.engineTokens))),
                account = "account",
                tier = kind.route.tier,
                parts = request.parts,
                outputTokens = kind.answerTokens,
                digest = "",
                deadline = queue.now + kind.route.timeout,
            )
        queue.after(kind.route.timeout) { leave(caller) }
        tell(caller.vm, DispatchEvent.RequestSubmitted(routed))
    }

    /** The caller's time is over. */
    private fun leave(caller: Caller) {
        val job = caller.job ?: return tell(caller.vm, DispatchEvent.CallerDisconnected(caller.request.number))
        caller.engine?.cancel(job)
        caller.job = null
        tell(caller.vm, DispatchEvent.AttemptEnded(caller.request.number, AttemptEnd.Failed(ServerFailure.SILENT, canResume = false)))
    }

    private fun tell(
        vm: Int,
        event: DispatchEvent,
    ) = dispatchers[vm].handle(event, queue.now).forEach { carryOut(vm, it) }

    private fun carryOut(
        vm: Int,
        effect: DispatchEffect,
    ) {
        when (effect) {
            is DispatchEffect.Send -> {
                queue.after(HOP_SECONDS) { send(vm, effect) }
            }
            is DispatchEffect.Refuse -> {
                callers.getValue(effect.key).isRefused = true
            }
            is DispatchEffect.Ask -> {
                ask(vm, effect)
            }
            is DispatchEffect.ScheduleReport -> {
                queue.after(effect.delay) { tell(vm, DispatchEvent.ReportDue(effect.service)) }
            }
            is DispatchEffect.ScheduleHandOver -> {
                queue.after(effect.delay) { tell(vm, DispatchEvent.HandOverDue(effect.service)) }
            }
            is DispatchEffect.ScheduleQuestion -> {
                queue.after(effect.delay) { tell(vm, DispatchEvent.QuestionDue(effect.key, effect.number)) }
            }
            is DispatchEffect.Report -> {
                val decider = names.indexOf(effect.decider)
                queue.after(HOP_SECONDS) { if (decider !in silent) tell(decider, DispatchEvent.ReportReceived(effect.report)) }
            }
            is DispatchEffect.ReportCrash, is DispatchEffect.Answer, is DispatchEffect.CheckServer, is DispatchEffect.ReportQuarantine -> {
                Unit
            }
        }
    }

    /** A question and its answer take a hop each; a silent VM is given up on after a while. */
    private fun ask(
        vm: Int,
        effect: DispatchEffect.Ask,
    ) {
        val number = effect.question.number
        val decider = names.indexOf(effect.decider)
        if (decider in silent) {
            queue.after(ANSWER_TIMEOUT_SECONDS) { tell(vm, DispatchEvent.AnswerReceived(effect.key, number, null)) }
            return
        }
        queue.after(HOP_SECONDS) {
            val replies = dispatchers[decider].handle(DispatchEvent.QuestionReceived(effect.question), queue.now)
            val reply = replies.filterIsInstance<DispatchEffect.Answer>().single().reply
            queue.after(HOP_SECONDS) { tell(vm, DispatchEvent.AnswerReceived(effect.key, number, reply)) }
        }
    }

    private fun send(
        vm: Int,
        effect: DispatchEffect.Send,
    ) {
        val caller = callers.getValue(effect.key)
        val engine = byId.getValue(effect.server.server.id)
        if (!engine.isUp) {
            val refused = DispatchEvent.AttemptEnded(effect.key, AttemptEnd.NotRun(ServerFailure.UNREACHABLE))
            queue.after(HOP_SECONDS) { tell(vm, refused) }
            return
        }
        val route = caller.request.kind.route
        val job = EngineJob(caller.request, vm, effect.attempt, caller.request.atSeconds + route.timeout.toDouble(DurationUnit.SECONDS))
        caller.job = job
        caller.engine = engine
        if (engine.id in limited && queue.seconds > cell.scenario.from + HEARD_SECONDS) {
            arrivalsUnderLimit.getOrPut(engine.id) { ArrayList() } += queue.seconds
        }
        engine.accept(job)
    }

    override fun firstToken(job: EngineJob) {
        val caller = callers.getValue(job.request.number)
        caller.firstTokenSeconds = queue.seconds
        val engine = caller.engine?.id?.takeIf { it in limited }
        queue.after(HOP_SECONDS) {
            engine?.let { tell(job.vm, DispatchEvent.ServerNoticeReceived(it, 1, ServerNotice(limit = LIMIT))) }
            tell(job.vm, DispatchEvent.FirstByteReceived(job.request.number))
        }
    }

    override fun completed(job: EngineJob) {
        callers.getValue(job.request.number).job = null
        queue.after(HOP_SECONDS) { tell(job.vm, DispatchEvent.AttemptEnded(job.request.number, AttemptEnd.Answered)) }
    }

    override fun broke(job: EngineJob) {
        callers.getValue(job.request.number).job = null
        val failed = DispatchEvent.AttemptEnded(job.request.number, AttemptEnd.Failed(ServerFailure.BROKEN, canResume = false))
        queue.after(HOP_SECONDS) { tell(job.vm, failed) }
    }

    private fun result(): PoolResult {
        val counted = callers.values.filter { it.request.atSeconds > WARM_UP_SECONDS }
        val busy = engines.map { it.readSeconds }
        val firstReads = callers.values.flatMap { it.request.parts.dropLast(1) }.distinctBy { it.id }.sumOf { it.tokens }
        return PoolResult(
            vms = cell.vms,
            engines = cell.engines,
            load = cell.load,
            scenario = cell.scenario.name,
            served = counted.share { it.isOnTime() },
            late = counted.share { it.firstTokenSeconds != null && !it.isOnTime() },
            ended = counted.share { it.firstTokenSeconds == null && !it.isRefused },
            refused = counted.share { it.firstTokenSeconds == null && it.isRefused },
            worst = counted.groupBy { it.request.kind.name }.minOf { (_, some) -> some.share { it.isOnTime() } },
            rereadTokens = engines.sumOf { it.sharedTokensRead } - firstReads,
            busiest = (busy.max() / busy.average()).rounded(),
            starved = starved(counted),
            limitUse = limitUse().rounded(),
        )
    }

    private fun limitUse(): Double {
        val most = arrivalsUnderLimit.values.maxOfOrNull { times -> times.maxOf { last -> times.count { it in last - 4..last } } } ?: 0
        return most / (1.5 * 4 * LIMIT.requests + 5)
    }

    /** In spans of five seconds, as an operator would notice it. */
    private fun starved(counted: List<Caller>): Int =
        counted.groupBy { (it.request.atSeconds / STARVATION_SPAN_SECONDS).toInt() }.values.sumOf { span ->
            val byClass = span.groupBy { it.request.kind }
            byClass.entries.sumOf { (kind, some) ->
                val nothing = some.count { it.firstTokenSeconds == null }
                val outranked =
                    byClass.any { (other, theirs) ->
                        other.route.tier > kind.route.tier &&
                            other.promptTokens > 2 * kind.promptTokens &&
                            theirs.any { it.firstTokenSeconds != null }
                    }
                if (outranked && nothing >= LEAST_STARVED && nothing * STARVED_PART > some.size) nothing else 0
            }
        }

    private fun Caller.isOnTime(): Boolean {
        val first = firstTokenSeconds ?: return false
        return (first - request.atSeconds).seconds <= request.kind.route.latencyTarget
    }

    private fun List<Caller>.share(matches: (Caller) -> Boolean) = (count(matches).toDouble() / size).rounded()

    private companion object {
        val ZONES = listOf("a", "b", "c")
        val LIMIT = RequestLimit.PerSecond(PoolLoad.REQUESTS_PER_ENGINE / 3)

        // By then all VMs have been told.
        const val HEARD_SECONDS = 1.0
        const val RUN_SECONDS = 24.0
        const val WARM_UP_SECONDS = 3.0
        const val LONGEST_WAIT_SECONDS = 13.0
        const val HOP_SECONDS = 0.001
        const val ANSWER_TIMEOUT_SECONDS = 0.03
        const val LAPSE_SECONDS = 3.6
        const val SLOWNESS = 2.0
        const val STARVATION_SPAN_SECONDS = 5.0
        const val LEAST_STARVED = 10
        const val STARVED_PART = 12
    }
}

private fun Double.rounded() = Math.round(this * ROUNDING) / ROUNDING

private const val ROUNDING = 1000.0
