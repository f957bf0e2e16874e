/*
 * Decides for each routed request which backend server gets it, whether a failed attempt is repeated, and when the
 * request is refused. It runs on one thread, takes events with the present time and returns the effects to carry out.
 *
 * Where a service runs on model engines, one entry VM chooses for all of them, because only the work of all VMs together
 * tells which engine has room. A VM whose question is not answered in time chooses by what it knows itself.
 */
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.admission.DecayedRate
import org.ragwortlever.core.backend.KnownServer
import org.ragwortlever.core.backend.ServerFailure
import org.ragwortlever.core.error.ErrorKind
import org.ragwortlever.core.error.Executed
import org.ragwortlever.core.error.Refusal
import org.ragwortlever.core.fleet.ServiceLoad
import org.ragwortlever.core.retry.CrashSuspects
import org.ragwortlever.core.route.ServiceDefinition
import kotlin.math.roundToInt
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
    private val pool = ServerPool(options)
    private val desk = PoolDesk(pool)
    private val deciders = PoolDeciders(options.node)
    private val reporter = PoolReporter(options.node)
    private val open = LinkedHashMap<Long, OpenRequest>()
    private val allowances = HashMap<String, RepeatAllowance>()
    private val suspects = CrashSuspects()
    private val readRates = HashMap<String, DecayedRate>()
    private var questions = 0L

    /** Requests that are not answered yet. */
    val openRequests: Int get() = open.size

    /** What the callers of this node ask of each service. */
    fun load(now: Instant): Map<String, ServiceLoad> =
        readRates.mapValues { (service, rate) ->
            // Rounded, so that an idle system does not look changed all the time.
            val seconds = (rate.perSecond(now) * LOAD_STEPS).roundToInt() / LOAD_STEPS
            ServiceLoad(seconds, attemptsAt(service).size)
        }

    fun handle(
        event: DispatchEvent,
        now: Instant,
    ): List<DispatchEffect> {
        val effects = ArrayList<DispatchEffect>()
        when (event) {
            is DispatchEvent.Submit -> submit(event.request, now, effects)
            is DispatchEvent.Advised -> advised(event, now, effects)
            is DispatchEvent.AskDue -> askAgain(event, now, effects)
            is DispatchEvent.FirstByte -> firstByte(event.key, now, effects)
            is DispatchEvent.AttemptEnded -> ended(event, now, effects)
            is DispatchEvent.ServerNoticed -> noticed(event, now, effects)
            is DispatchEvent.CallerGone -> close(event.key, effects)
            is DispatchEvent.ServersChanged -> pool.replace(event.servers).forEach { confirmCrash(it, now, effects) }
            is DispatchEvent.ZonesTakenOut -> pool.zonesTakenOut = event.zones
            is DispatchEvent.NodesChanged -> replaceNodes(event)
            is DispatchEvent.CrashReported -> event.digests.forEach { suspects.recordFailure(it, event.server, event.zone, now) }
            is DispatchEvent.Asked -> effects += DispatchEffect.Answer(desk.answer(event.question, now))
            is DispatchEvent.Reported -> desk.reported(event.report, now)
            is DispatchEvent.ReportDue -> report(event.service, now, effects)
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
        val opened = OpenRequest(request, now)
        if (request.deadline - now < LEAST_TIME_FOR_SEND) {
            effects += DispatchEffect.Refuse(request.key, opened.waitExceeded())
            return
        }
        request.services.firstOrNull()?.let { allowance(it).requested(now) }
        open[request.key] = opened
        send(opened, now, effects)
    }

    private fun firstByte(
        key: Long,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val attempt = open[key]?.running ?: return
        attempt.firstByteAt = now
        attempt.server.heard(now)
        planReport(attempt, null, effects)
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
        planReport(attempt, event.end.toReport(attempt.server.id), effects)
        when (val end = event.end) {
            AttemptEnd.Answered -> {
                attempt.server.health.recordSuccess(now)
                attempt.server.heard(now)
                suspects.recordCompletion(opened.request.digest, now)
                open.remove(event.key)
            }
            is AttemptEnd.NotRun -> {
                attempt.server.failed(end.failure, now)
                if (end.failure == ServerFailure.UNREACHABLE) confirmCrash(attempt.server, now, effects)
                opened.refused += attempt.server.id
                repeat(opened, end.failure, now, effects)
            }
            is AttemptEnd.Failed -> {
                attempt.server.failed(end.failure, now)
                opened.failed += attempt.server.id
                if (end.failure == ServerFailure.BROKEN) attempt.server.brokeOff(opened.request.digest, now)
                if (opened.request.route.isRepeatable && end.canResume) {
                    repeat(opened, end.failure, now, effects)
                } else {
                    refuse(opened, failed(end.failure), effects)
                }
            }
        }
    }

    /** The deciding VM learns of it with the next message, as the store may tell it seconds later or never. */
    private fun noticed(
        event: DispatchEvent.ServerNoticed,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        pool.noticed(event.id, event.incarnation, event.notice, now)
        val service = pool.find(event.id)?.known?.server?.service ?: return
        reporter.noticed(service, event.toReport())?.let { effects += it }
    }

    private fun repeat(
        opened: OpenRequest,
        failure: ServerFailure,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val request = opened.request
        val timeLeft = request.deadline - now
        val refusal = if (opened.mayHaveRun) failed(failure) else unavailable("the last server: $failure")
        when {
            timeLeft < LEAST_TIME_FOR_SEND -> refuse(opened, refusal, effects)
            opened.failed.size >= request.route.maximumAttempts -> refuse(opened, refusal, effects)
            opened.sends >= MAXIMUM_SENDS -> refuse(opened, refusal, effects)
            suspects.isRefused(request.digest, now) -> refuse(opened, refusal, effects)
            // A send that never reached the server is no arrival there and costs nothing.
            !failure.isBeforeSend && !allowance(request.services.first()).tryTake(now) -> refuse(opened, refusal, effects)
            else -> send(opened, now, effects)
        }
    }

    /** Asks the VM that decides for the service, which may be this one, or chooses a server here. */
    private fun send(
        opened: OpenRequest,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val service = opened.request.services.firstOrNull()
        val decider = service?.let { deciderFor(it, now) } ?: return sendByOwnChoice(opened, now, effects)
        val asked = OpenQuestion(opened.asked?.number ?: ++questions, decider, now)
        opened.asked = asked
        if (decider == options.node) {
            val report = PoolReport(options.node, service.name, 0, emptyList(), emptyList(), emptyList())
            return decided(opened, asked, desk.answerOwn(opened.toQuestion(service, asked.number, report, now), now), now, effects)
        }
        val report = reporter.report(service.name, attemptsAt(service.name), pendingAt(service.name), now)
        effects += DispatchEffect.Ask(opened.request.key, decider, opened.toQuestion(service, asked.number, report, now))
    }

    private fun OpenRequest.toQuestion(
        service: ServiceDefinition,
        number: Long,
        report: PoolReport,
        now: Instant,
    ) = toQuestion(service, number, report, options.zone, pool.unfit(service, now), pool.coldWithRoom(service, now), now)

    private fun askAgain(
        event: DispatchEvent.AskDue,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val opened = open[event.key]?.takeIf { it.asked?.number == event.number } ?: return
        if (opened.request.deadline - now < LEAST_TIME_FOR_SEND) return refuse(opened, opened.waitExceeded(), effects)
        send(opened, now, effects)
    }

    private fun advised(
        event: DispatchEvent.Advised,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val opened = open[event.key] ?: return
        val asked = opened.asked?.takeIf { it.number == event.number } ?: return
        if (event.answer == null) deciders.failed(asked.decider, now) else deciders.answered(asked.decider)
        decided(opened, asked, event.answer ?: PoolAnswer.NoServer, now, effects)
    }

    private fun decided(
        opened: OpenRequest,
        asked: OpenQuestion,
        answer: PoolAnswer,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        if (answer is PoolAnswer.Wait) {
            effects += DispatchEffect.ScheduleAsk(opened.request.key, asked.number, answer.milliseconds.milliseconds)
            return
        }
        opened.asked = null
        // A VM that stood still meanwhile would act on a state of the pool that has passed.
        val isCurrent = now - asked.at <= ADVICE_LIFETIME
        when {
            answer is PoolAnswer.Advised && isCurrent -> sendAsAdvised(opened, asked, answer.advice, now, effects)
            answer is PoolAnswer.Refused && isCurrent -> refuse(opened, opened.waitExceeded(answer), effects)
            else -> sendByOwnChoice(opened, now, effects)
        }
    }

    private fun sendAsAdvised(
        opened: OpenRequest,
        asked: OpenQuestion,
        advice: PoolAdvice,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val server = pool.advised(advice, opened.request.services.first(), now) ?: return sendByOwnChoice(opened, now, effects)
        if (opened.request.deadline - now < LEAST_TIME_FOR_SEND) return refuse(opened, opened.waitExceeded(), effects)
        sendTo(server, advice.uncachedTokens, "${advice.reason} decider=${asked.decider}", opened, now, effects)
    }

    private fun sendByOwnChoice(
        opened: OpenRequest,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val best = opened.request.services.firstNotNullOfOrNull { service ->
            pool.choose(opened.request, service, opened.failed, opened.refused, now)
        }
        if (best == null) {
            val refusal = if (opened.mayHaveRun) {
                failed(ServerFailure.UNREACHABLE)
            } else {
                unavailable(
                    "no backend server can take it",
                    pool.nextOpening(opened.request.services, now)?.let {
                        it -
                            now
                    },
                )
            }
            return refuse(opened, refusal, effects)
        }
        sendTo(best.server, best.uncachedTokens, "score=%.3f".format(best.seconds), opened, now, effects)
    }

    private fun sendTo(
        server: ServerState,
        uncachedTokens: Int,
        reason: String,
        opened: OpenRequest,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val request = opened.request
        val attempt = RunningAttempt(request, server, now, uncachedTokens, ++opened.sends)
        opened.running = attempt
        server.running[request.key] = attempt
        server.sent(request.parts, now)
        pool.sent(server, now)
        readRates.getOrPut(server.known.server.service) { DecayedRate(LOAD_HALF_LIFE) }.add(uncachedTokens / PROMPT_TOKENS_PER_SECOND, now)
        effects += DispatchEffect.Send(request.key, server.known, attempt.number, opened.patience(now), reason)
    }

    /** The VM that decides for [service]; null for a service whose servers need no common choice. */
    private fun deciderFor(
        service: ServiceDefinition,
        now: Instant,
    ): String? = if (service.engine == null) null else deciders.deciderFor(service.name, now)

    private fun planReport(
        attempt: RunningAttempt,
        end: ReportedEnd?,
        effects: MutableList<DispatchEffect>,
    ) {
        val service = attempt.request.services.firstOrNull { it.name == attempt.server.known.server.service } ?: return
        if (service.engine == null) return
        reporter.changed(service.name, end)?.let { effects += it }
    }

    private fun report(
        service: String,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        if (!reporter.isDue(service)) return
        val report = reporter.report(service, attemptsAt(service), pendingAt(service), now)
        val decider = deciders.deciderFor(service, now) ?: return
        if (decider != options.node) effects += DispatchEffect.Report(decider, report)
    }

    private fun attemptsAt(service: String): List<RunningAttempt> =
        open.values.mapNotNull { it.running }.filter { it.server.known.server.service == service }

    private fun pendingAt(service: String): List<Long> =
        open.values.filter { it.request.services.firstOrNull()?.name == service }.mapNotNull { it.asked?.number }

    /** The process of [server] is gone: whatever broke off on it before may have crashed it. */
    private fun confirmCrash(
        server: ServerState,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val digests = server.takeCrashed(now)
        if (digests.isEmpty()) return
        digests.forEach { suspects.recordFailure(it, server.incarnationName, server.zone, now) }
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

    private fun close(
        key: Long,
        effects: MutableList<DispatchEffect>,
    ) {
        val opened = open.remove(key) ?: return
        opened.asked?.let { withdraw(opened.request, it, effects) }
        val attempt = opened.running ?: return
        attempt.server.running.remove(key)
        planReport(attempt, null, effects)
    }

    /** The VM that was asked must not keep a place for a request that has ended. */
    private fun withdraw(
        request: RoutedRequest,
        asked: OpenQuestion,
        effects: MutableList<DispatchEffect>,
    ) {
        desk.withdraw(options.node, asked.number)
        request.services.firstOrNull()?.let { reporter.changed(it.name) }?.let { effects += it }
    }

    private fun replaceNodes(changed: DispatchEvent.NodesChanged) {
        if (changed.nodes.size != pool.nodes.size) allowances.clear()
        pool.nodes = changed.nodes + options.node
        deciders.replace(changed.deciders)
        desk.keepOnly(pool.nodes)
    }

    private fun allowance(service: ServiceDefinition) =
        allowances.getOrPut(service.name) { RepeatAllowance(options.repeats, pool.nodes.size) }

    private companion object {
        // Nearly every server needs longer than this, so the request would run for nobody.
        val LEAST_TIME_FOR_SEND = 20.milliseconds

        // Refusals by full servers cost no run, but each costs a round trip and an arrival.
        const val MAXIMUM_SENDS = 4
        const val LOAD_STEPS = 100.0

        // Long enough to even out single long prompts, short against the time in which a new server starts.
        val LOAD_HALF_LIFE = 2.seconds

        // Several times the time that an answer may take; by then the engines have other work.
        val ADVICE_LIFETIME = 100.milliseconds
    }
}
