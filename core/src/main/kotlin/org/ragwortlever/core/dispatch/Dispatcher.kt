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
    val retryLimit: ServiceRetryLimit = ServiceRetryLimit(),
)

/** Decides over the routed requests of one entry VM. Not thread-safe: the control thread owns it. */
class Dispatcher(
    private val options: DispatchOptions,
) {
    private val pool = ServerPool(options)
    private val poolDecider = PoolDecider(pool)
    private val deciderSelector = DeciderSelector(options.node)
    private val reporter = PoolReporter(options.node)
    private val open = LinkedHashMap<Long, OpenRequest>()
    private val retryBudgets = HashMap<String, ServiceRetryBudget>()
    private val suspects = CrashSuspects()
    private val prefillRates = HashMap<String, DecayedRate>()
    private var questions = 0L

    /** Requests that are not answered yet. */
    val openRequests: Int get() = open.size

    /** What the callers of this node ask of each service. */
    fun load(now: Instant): Map<String, ServiceLoad> =
        prefillRates.mapValues { (service, rate) ->
            // Rounded, so that an idle system does not look changed all the time.
            val seconds = (rate.perSecond(now) * LOAD_STEPS_PER_SECOND).roundToInt() / LOAD_STEPS_PER_SECOND
            ServiceLoad(seconds, runningAttemptsAt(service).size)
        }

    fun handle(
        event: DispatchEvent,
        now: Instant,
    ): List<DispatchEffect> {
        val effects = ArrayList<DispatchEffect>()
        when (event) {
            is DispatchEvent.RequestSubmitted -> submit(event.request, now, effects)
            is DispatchEvent.AnswerReceived -> handleAnswer(event, now, effects)
            is DispatchEvent.QuestionDue -> askAgain(event, now, effects)
            is DispatchEvent.FirstByteReceived -> handleFirstByte(event.key, now, effects)
            is DispatchEvent.AttemptEnded -> handleAttemptEnded(event, now, effects)
            is DispatchEvent.ServerNoticeReceived -> handleServerNotice(event, now, effects)
            is DispatchEvent.CallerDisconnected -> cancel(event.key, effects)
            is DispatchEvent.ServersChanged -> pool.replace(event.servers).forEach { confirmCrash(it, now, effects) }
            is DispatchEvent.TakenOutZonesChanged -> pool.zonesTakenOut = event.zones
            is DispatchEvent.NodesChanged -> updateNodes(event)
            is DispatchEvent.CrashReportReceived -> event.digests.forEach { suspects.recordFailure(it, event.server, event.zone, now) }
            is DispatchEvent.QuestionReceived -> effects += DispatchEffect.Answer(poolDecider.answer(event.question, now))
            is DispatchEvent.ReportReceived -> poolDecider.applyReport(event.report, now)
            is DispatchEvent.ReportDue -> sendReport(event.service, now, effects)
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
        val openRequest = OpenRequest(request, now)
        if (request.deadline - now < MIN_TIME_TO_SEND) {
            effects += DispatchEffect.Refuse(request.key, openRequest.waitExceededRefusal())
            return
        }
        request.services.firstOrNull()?.let { retryBudgetOf(it).recordRequest(now) }
        open[request.key] = openRequest
        send(openRequest, now, effects)
    }

    private fun handleFirstByte(
        key: Long,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val attempt = open[key]?.running ?: return
        attempt.firstByteAt = now
        attempt.server.recordResponse(now)
        scheduleReport(attempt, null, effects)
    }

    private fun handleAttemptEnded(
        event: DispatchEvent.AttemptEnded,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val openRequest = open[event.key] ?: return
        val attempt = openRequest.running ?: return
        attempt.server.running.remove(event.key)
        openRequest.running = null
        scheduleReport(attempt, event.end.toReport(attempt.server.id), effects)
        when (val end = event.end) {
            AttemptEnd.Answered -> {
                attempt.server.health.recordSuccess(now)
                attempt.server.recordResponse(now)
                suspects.recordCompletion(openRequest.request.digest, now)
                open.remove(event.key)
            }
            is AttemptEnd.NotRun -> {
                attempt.server.recordFailure(end.failure, now)
                if (end.failure == ServerFailure.UNREACHABLE) confirmCrash(attempt.server, now, effects)
                openRequest.rejectingServers += attempt.server.id
                retry(openRequest, end.failure, now, effects)
            }
            is AttemptEnd.Failed -> {
                attempt.server.recordFailure(end.failure, now)
                openRequest.failedServers += attempt.server.id
                if (end.failure == ServerFailure.BROKEN) attempt.server.recordBrokenAttempt(openRequest.request.digest, now)
                if (openRequest.request.route.isRepeatable && end.canResume) {
                    retry(openRequest, end.failure, now, effects)
                } else {
                    refuse(openRequest, serverFailedRefusal(end.failure), effects)
                }
            }
        }
    }

    /** The deciding VM learns of it with the next message, as the store may tell it seconds later or never. */
    private fun handleServerNotice(
        event: DispatchEvent.ServerNoticeReceived,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        pool.recordNotice(event.id, event.incarnation, event.notice, now)
        val service = pool.find(event.id)?.known?.server?.service ?: return
        reporter.recordNotice(service, event.toReport())?.let { effects += it }
    }

    private fun retry(
        openRequest: OpenRequest,
        failure: ServerFailure,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val request = openRequest.request
        val timeLeft = request.deadline - now
        val refusal = if (openRequest.mayHaveRun) serverFailedRefusal(failure) else noServerRefusal("the last server: $failure")
        when {
            timeLeft < MIN_TIME_TO_SEND -> refuse(openRequest, refusal, effects)
            openRequest.failedServers.size >= request.route.maximumAttempts -> refuse(openRequest, refusal, effects)
            openRequest.sendCount >= MAX_SENDS -> refuse(openRequest, refusal, effects)
            suspects.isRefused(request.digest, now) -> refuse(openRequest, refusal, effects)
            // A send that never reached the server is no arrival there and costs nothing.
            !failure.isBeforeSend && !retryBudgetOf(request.services.first()).tryTake(now) -> refuse(openRequest, refusal, effects)
            else -> send(openRequest, now, effects)
        }
    }

    /** Asks the VM that decides for the service, which may be this one, or chooses a server here. */
    private fun send(
        openRequest: OpenRequest,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val service = openRequest.request.services.firstOrNull()
        val decider = service?.let { deciderFor(it, now) } ?: return sendByLocalChoice(openRequest, now, effects)
        val openQuestion = OpenQuestion(openRequest.openQuestion?.number ?: ++questions, decider, now)
        openRequest.openQuestion = openQuestion
        if (decider == options.node) {
            val report = PoolReport(options.node, service.name, 0, emptyList(), emptyList(), emptyList())
            return applyAnswer(openRequest, openQuestion, poolDecider.answerLocal(openRequest.toQuestion(service, openQuestion.number, report, now), now), now, effects)
        }
        val report = reporter.createReport(service.name, runningAttemptsAt(service.name), pendingQuestionsAt(service.name), now)
        effects += DispatchEffect.Ask(openRequest.request.key, decider, openRequest.toQuestion(service, openQuestion.number, report, now))
    }

    private fun OpenRequest.toQuestion(
        service: ServiceDefinition,
        number: Long,
        report: PoolReport,
        now: Instant,
    ) = toQuestion(service, number, report, options.zone, pool.avoidedServers(service, now), pool.sendableColdServers(service, now), now)

    private fun askAgain(
        event: DispatchEvent.QuestionDue,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val openRequest = open[event.key]?.takeIf { it.openQuestion?.number == event.number } ?: return
        if (openRequest.request.deadline - now < MIN_TIME_TO_SEND) return refuse(openRequest, openRequest.waitExceededRefusal(), effects)
        send(openRequest, now, effects)
    }

    private fun handleAnswer(
        event: DispatchEvent.AnswerReceived,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val openRequest = open[event.key] ?: return
        val openQuestion = openRequest.openQuestion?.takeIf { it.number == event.number } ?: return
        if (event.answer == null) deciderSelector.recordFailure(openQuestion.decider, now) else deciderSelector.recordAnswer(openQuestion.decider)
        applyAnswer(openRequest, openQuestion, event.answer ?: PoolAnswer.NoServer, now, effects)
    }

    private fun applyAnswer(
        openRequest: OpenRequest,
        openQuestion: OpenQuestion,
        answer: PoolAnswer,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        if (answer is PoolAnswer.Wait) {
            effects += DispatchEffect.ScheduleQuestion(openRequest.request.key, openQuestion.number, answer.milliseconds.milliseconds)
            return
        }
        openRequest.openQuestion = null
        // A VM that stood still meanwhile would act on a state of the pool that has passed.
        val isCurrent = now - openQuestion.askedAt <= MAX_ANSWER_AGE
        when {
            answer is PoolAnswer.Advised && isCurrent -> sendAsAdvised(openRequest, openQuestion, answer.advice, now, effects)
            answer is PoolAnswer.Refused && isCurrent -> refuse(openRequest, openRequest.waitExceededRefusal(answer), effects)
            else -> sendByLocalChoice(openRequest, now, effects)
        }
    }

    private fun sendAsAdvised(
        openRequest: OpenRequest,
        openQuestion: OpenQuestion,
        advice: PoolAdvice,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val server = pool.resolveAdvice(advice, openRequest.request.services.first(), now) ?: return sendByLocalChoice(openRequest, now, effects)
        if (openRequest.request.deadline - now < MIN_TIME_TO_SEND) return refuse(openRequest, openRequest.waitExceededRefusal(), effects)
        sendTo(server, advice.uncachedTokens, "${advice.reason} decider=${openQuestion.decider}", openRequest, now, effects)
    }

    private fun sendByLocalChoice(
        openRequest: OpenRequest,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val best = openRequest.request.services.firstNotNullOfOrNull { service ->
            pool.chooseServer(openRequest.request, service, openRequest.failedServers, openRequest.rejectingServers, now)
        }
        if (best == null) {
            val refusal = if (openRequest.mayHaveRun) {
                serverFailedRefusal(ServerFailure.UNREACHABLE)
            } else {
                noServerRefusal(
                    "no backend server can take it",
                    pool.findNextAvailableTime(openRequest.request.services, now)?.let {
                        it -
                            now
                    },
                )
            }
            return refuse(openRequest, refusal, effects)
        }
        sendTo(best.server, best.uncachedTokens, "score=%.3f".format(best.seconds), openRequest, now, effects)
    }

    private fun sendTo(
        server: ServerState,
        uncachedTokens: Int,
        reason: String,
        openRequest: OpenRequest,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val request = openRequest.request
        val attempt = RunningAttempt(request, server, now, uncachedTokens, ++openRequest.sendCount)
        openRequest.running = attempt
        server.running[request.key] = attempt
        server.recordSent(request.parts, now)
        pool.recordSent(server, now)
        prefillRates.getOrPut(server.known.server.service) { DecayedRate(LOAD_HALF_LIFE) }.add(uncachedTokens / PREFILL_TOKENS_PER_SECOND, now)
        effects += DispatchEffect.Send(request.key, server.known, attempt.number, openRequest.firstByteTimeout(now), reason)
    }

    /** The VM that decides for [service]; null for a service whose servers need no common choice. */
    private fun deciderFor(
        service: ServiceDefinition,
        now: Instant,
    ): String? = if (service.engine == null) null else deciderSelector.deciderFor(service.name, now)

    private fun scheduleReport(
        attempt: RunningAttempt,
        end: ReportedEnd?,
        effects: MutableList<DispatchEffect>,
    ) {
        val service = attempt.request.services.firstOrNull { it.name == attempt.server.known.server.service } ?: return
        if (service.engine == null) return
        reporter.recordChange(service.name, end)?.let { effects += it }
    }

    private fun sendReport(
        service: String,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        if (!reporter.isDue(service)) return
        val report = reporter.createReport(service, runningAttemptsAt(service), pendingQuestionsAt(service), now)
        val decider = deciderSelector.deciderFor(service, now) ?: return
        if (decider != options.node) effects += DispatchEffect.Report(decider, report)
    }

    private fun runningAttemptsAt(service: String): List<RunningAttempt> =
        open.values.mapNotNull { it.running }.filter { it.server.known.server.service == service }

    private fun pendingQuestionsAt(service: String): List<Long> =
        open.values.filter { it.request.services.firstOrNull()?.name == service }.mapNotNull { it.openQuestion?.number }

    /** The process of [server] is gone: whatever broke off on it before may have crashed it. */
    private fun confirmCrash(
        server: ServerState,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val digests = server.takeCrashSuspects(now)
        if (digests.isEmpty()) return
        digests.forEach { suspects.recordFailure(it, server.incarnationName, server.zone, now) }
        effects += DispatchEffect.ReportCrash(server.incarnationName, server.zone, digests)
    }

    private fun refuse(
        openRequest: OpenRequest,
        refusal: Refusal,
        effects: MutableList<DispatchEffect>,
    ) {
        open.remove(openRequest.request.key)
        effects += DispatchEffect.Refuse(openRequest.request.key, refusal)
    }

    private fun cancel(
        key: Long,
        effects: MutableList<DispatchEffect>,
    ) {
        val openRequest = open.remove(key) ?: return
        openRequest.openQuestion?.let { withdraw(openRequest.request, it, effects) }
        val attempt = openRequest.running ?: return
        attempt.server.running.remove(key)
        scheduleReport(attempt, null, effects)
    }

    /** The VM that was openQuestion must not keep a place for a request that has ended. */
    private fun withdraw(
        request: RoutedRequest,
        openQuestion: OpenQuestion,
        effects: MutableList<DispatchEffect>,
    ) {
        poolDecider.withdraw(options.node, openQuestion.number)
        request.services.firstOrNull()?.let { reporter.recordChange(it.name) }?.let { effects += it }
    }

    private fun updateNodes(changed: DispatchEvent.NodesChanged) {
        if (changed.nodes.size != pool.nodes.size) retryBudgets.clear()
        pool.nodes = changed.nodes + options.node
        deciderSelector.replace(changed.deciders)
        poolDecider.retainOnly(pool.nodes)
    }

    private fun retryBudgetOf(service: ServiceDefinition) =
        retryBudgets.getOrPut(service.name) { ServiceRetryBudget(options.retryLimit, pool.nodes.size) }

    private companion object {
        // Nearly every server needs longer than this, so the request would run for nobody.
        val MIN_TIME_TO_SEND = 20.milliseconds

        // Refusals by full servers cost no run, but each costs a round trip and an arrival.
        const val MAX_SENDS = 4
        const val LOAD_STEPS_PER_SECOND = 100.0

        // Long enough to even out single long prompts, short against the time in which a new server starts.
        val LOAD_HALF_LIFE = 2.seconds

        // Several times the time that an answer may take; by then the engines have other work.
        val MAX_ANSWER_AGE = 100.milliseconds
    }
}
