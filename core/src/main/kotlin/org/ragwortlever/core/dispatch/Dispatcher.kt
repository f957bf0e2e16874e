/*
 * Decides for each routed request which backend server gets it, whether a failed attempt is retried, and when the
 * request is refused. Runs on one thread: takes events with the current time and returns the effects to carry out.
 *
 * For a service that runs on model engines, one entry VM, the decider, chooses for all, because only the load of all
 * VMs together shows which engine has capacity. A VM whose question is not answered in time chooses from its own view.
 */
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.admission.DecayedRate
import org.ragwortlever.core.backend.KnownServer
import org.ragwortlever.core.backend.ServerFailure
import org.ragwortlever.core.error.ErrorKind
import org.ragwortlever.core.error.Executed
import org.ragwortlever.core.error.Refusal
import org.ragwortlever.core.fleet.ServiceLoad
import org.ragwortlever.core.rollout.VersionEvidence
import org.ragwortlever.core.route.ServiceDefinition
import kotlin.math.roundToInt
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Identity and limits of one dispatcher.
 *
 * @property node name of this entry VM, as in [DispatchEvent.NodesChanged].
 * @property zone availability zone of this entry VM.
 * @property retryLimit limit on the retries of all entry VMs at one service.
 */
data class DispatchOptions(
    val node: String,
    val zone: String,
    val retryLimit: ServiceRetryLimit = ServiceRetryLimit(),
)

/** Dispatches the routed requests of one entry VM. Not thread-safe: owned by the control thread. */
class Dispatcher(
    private val options: DispatchOptions,
) {
    private val pool = ServerPool(options)
    private val quarantine = ContentQuarantine()
    private val poolDecider = PoolDecider(pool, quarantine)
    private val deciderSelector = DeciderSelector(options.node)
    private val reporter = PoolReporter(options.node)
    private val versions = VersionTraffic(pool)
    private val crashes = CrashTracker(pool, deciderSelector, reporter, quarantine)
    private val open = LinkedHashMap<Long, OpenRequest>()
    private val retryBudgets = HashMap<String, ServiceRetryBudget>()
    private val prefillRates = HashMap<String, DecayedRate>()

    /** Services for which a hand-over is scheduled. */
    private val handOvers = HashSet<String>()
    private var questions = 0L

    /** Number of requests that are not answered yet. */
    val openRequests: Int get() = open.size

    /** Load that this node puts on each service: seconds of prefill per second, and running attempts. */
    fun load(now: Instant): Map<String, ServiceLoad> =
        prefillRates.mapValues { (service, rate) ->
            // Rounded, so that small fluctuations of an idle system don't count as changes.
            val seconds = (rate.perSecond(now) * LOAD_STEPS_PER_SECOND).roundToInt() / LOAD_STEPS_PER_SECOND
            ServiceLoad(seconds, runningAttemptsAt(service).size)
        }

    /** What the versions of [service] have answered to this VM's requests; null if it is not under roll-out. */
    fun versionEvidence(service: String): VersionEvidence? = versions.evidence(service, runningAttemptsAt(service))

    /** Handles [event] at the time [now] and returns the effects to carry out, in order. */
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
            is DispatchEvent.ServersChanged -> pool.replace(event.servers).forEach { crashes.recordProcessGone(it, now, effects) }
            is DispatchEvent.ServerUnreachable -> crashes.handleUnreachable(event, now, effects)
            is DispatchEvent.QuarantineReceived -> quarantine.merge(event.parts, now)
            is DispatchEvent.TakenOutZonesChanged -> pool.zonesTakenOut = event.zones
            is DispatchEvent.NodesChanged -> updateNodes(event, now)
            is DispatchEvent.RolloutsChanged -> versions.replace(event)
            is DispatchEvent.CrashReportReceived -> crashes.applyReport(event, now)
            is DispatchEvent.QuestionReceived -> effects += DispatchEffect.Answer(poolDecider.reply(event.question, now))
            is DispatchEvent.ReportReceived -> poolDecider.applyReport(event.report, now)
            is DispatchEvent.ReportDue -> if (reporter.isDue(event.service)) sendReport(event.service, now, effects)
            is DispatchEvent.HandOverDue -> handOver(event.service, now, effects)
        }
        quarantine.takeUnannounced().mapTo(effects) { it.toEffect() }
        return effects
    }

    private fun submit(
        request: RoutedRequest,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        if (crashes.isQuarantined(request, now)) {
            effects += DispatchEffect.Refuse(request.key, quarantinedRefusal())
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
        if (attempt.firstByteAt == null) versions.recordFirstByte(attempt, now)
        attempt.firstByteAt = now
        attempt.server.recordResponse(now)
        pool.limits.recordAnswer(attempt.server.known.server, attempt.startedAt)
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
        scheduleReport(attempt, event.end.toReport(attempt.server.id, openRequest.request.partIds), effects)
        when (val end = event.end) {
            AttemptEnd.Answered -> {
                attempt.server.health.recordSuccess(now)
                attempt.server.recordResponse(now)
                crashes.recordCompletion(attempt, now)
                open.remove(event.key)
            }
            is AttemptEnd.NotRun -> {
                attempt.server.recordFailure(end.failure, now)
                if (end.failure == ServerFailure.UNREACHABLE) crashes.recordProcessGone(attempt.server, now, effects)
                if (end.failure != ServerFailure.EXPIRED) openRequest.rejectingServers += attempt.server.id
                retry(openRequest, end.failure, now, effects)
            }
            is AttemptEnd.Failed -> {
                versions.recordFailure(attempt, end.failure)
                attempt.server.recordFailure(end.failure, now)
                openRequest.failedServers += attempt.server.id
                if (end.failure == ServerFailure.BROKEN) crashes.recordBreak(attempt, now, effects)
                if (openRequest.request.route.isRepeatable && end.canResume) {
                    retry(openRequest, end.failure, now, effects)
                } else {
                    refuse(openRequest, serverFailedRefusal(end.failure), effects)
                }
            }
        }
    }

    /**
     * Applies the notice and passes it to the decider with the next report, because the store may announce it seconds
     * later or never.
     */
    private fun handleServerNotice(
        event: DispatchEvent.ServerNoticeReceived,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        pool.recordNotice(event.id, event.incarnation, event.notice, now)
        val service = pool.find(event.id)?.known?.server?.service ?: return
        // The report carries all limits, so a notice of a limit alone needs no entry of its own.
        val changed = if (event.notice.isLimitOnly) reporter.recordChange(service) else reporter.recordNotice(service, event.toReport())
        changed?.let { effects += it }
        if (event.notice.limit != null) scheduleHandOver(service, effects)
    }

    private fun retry(
        openRequest: OpenRequest,
        failure: ServerFailure,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val request = openRequest.request
        val timeLeft = request.deadline - now
        val refusal = if (openRequest.mayHaveRun) {
            serverFailedRefusal(failure)
        } else {
            noServerRefusal("no further server may be tried; failure of the last one: $failure")
        }
        when {
            timeLeft < MIN_TIME_TO_SEND -> refuse(openRequest, refusal, effects)
            openRequest.failedServers.size >= request.route.maximumAttempts -> refuse(openRequest, refusal, effects)
            openRequest.sendCount >= MAX_SENDS -> refuse(openRequest, refusal, effects)
            crashes.isQuarantined(request, now) -> refuse(openRequest, quarantinedRefusal(openRequest), effects)
            // A send that never reached the server adds no load there and is not charged to the retry budget.
            !failure.isBeforeSend && !retryBudgetOf(request.services.first()).tryTake(now) -> refuse(openRequest, refusal, effects)
            else -> send(openRequest, now, effects)
        }
    }

    /** Asks the decider of the service, which may be this VM, or chooses a server locally. */
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
            crashes.evaluate(service.name, now)
            val report = PoolReport(options.node, service.name, 0, emptyList(), emptyList(), emptyList())
            return applyAnswer(
                openRequest,
                openQuestion,
                poolDecider.answerLocal(openRequest.toQuestion(service, openQuestion.number, report, now), now),
                now,
                effects,
            )
        }
        val report = createReport(service.name, now)
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
        event.reply?.let {
            applyLimits(it.limits, now, effects)
            quarantine.merge(it.quarantined, now)
        }
        val openRequest = open[event.key] ?: return
        val openQuestion = openRequest.openQuestion?.takeIf { it.number == event.number } ?: return
        if (event.reply == null) {
            deciderSelector.recordFailure(openQuestion.decider, now)
            openRequest.request.services.firstOrNull()?.let { crashes.evaluate(it.name, now) }
        } else {
            deciderSelector.recordAnswer(openQuestion.decider)
        }
        applyAnswer(openRequest, openQuestion, event.reply?.answer ?: PoolAnswer.NoServer, now, effects)
    }

    private fun applyLimits(
        limits: List<ReportedLimit>,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) = limits.forEach { limit ->
        pool.limits.merge(limit, now)
        pool.find(limit.server)?.let { scheduleHandOver(it.known.server.service, effects) }
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
        // If this VM was paused meanwhile, the answer describes an outdated state of the pool.
        val isCurrent = now - openQuestion.askedAt <= MAX_ANSWER_AGE
        when {
            answer is PoolAnswer.Quarantined -> refuse(openRequest, quarantinedRefusal(openRequest), effects)
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
        val server =
            pool.resolveAdvice(advice, openRequest.request.services.first(), now) ?: return sendByLocalChoice(openRequest, now, effects)
        if (openRequest.request.deadline - now < MIN_TIME_TO_SEND) return refuse(openRequest, openRequest.waitExceededRefusal(), effects)
        sendTo(server, advice.uncachedTokens, "${advice.reason} decider=${openQuestion.decider}", openRequest, now, effects)
    }

    private fun sendByLocalChoice(
        openRequest: OpenRequest,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        if (crashes.isQuarantined(openRequest.request, now)) return refuse(openRequest, quarantinedRefusal(openRequest), effects)
        val best = openRequest.request.services.firstNotNullOfOrNull { service ->
            pool.chooseServer(openRequest.request, service, openRequest.failedServers, openRequest.rejectingServers, now)
        }
        if (best == null) {
            val refusal = if (openRequest.mayHaveRun) {
                serverFailedRefusal(ServerFailure.UNREACHABLE)
            } else {
                noServerRefusal(
                    "no backend server of the route's services takes requests now",
                    pool.findNextAvailableTime(openRequest.request.services, now)?.let { it - now },
                )
            }
            return refuse(openRequest, refusal, effects)
        }
        pool.limits.take(best.server.known.server)
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
        server.recordSent(request.parts, request.engineTokensAt(server), now)
        pool.recordSent(server, now)
        prefillRates.getOrPut(server.known.server.service) {
            DecayedRate(LOAD_HALF_LIFE)
        }.add(uncachedTokens / PREFILL_TOKENS_PER_SECOND, now)
        effects += DispatchEffect.Send(request.key, server.known, attempt.number, openRequest.firstByteTimeout(now), reason, now)
    }

    /** Returns the decider of [service]; null for a service that needs no shared decision. */
    private fun deciderFor(
        service: ServiceDefinition,
        now: Instant,
    ): String? = if (needsDecider(service)) deciderSelector.deciderFor(service.name, now) else null

    private fun needsDecider(service: ServiceDefinition) = service.engine != null || pool.hasLimits(service.name)

    private fun scheduleReport(
        attempt: RunningAttempt,
        end: ReportedEnd?,
        effects: MutableList<DispatchEffect>,
    ) {
        val service = attempt.request.services.firstOrNull { it.name == attempt.server.known.server.service } ?: return
        if (!needsDecider(service)) return
        reporter.recordChange(service.name, end)?.let { effects += it }
    }

    private fun sendReport(
        service: String,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        val decider = deciderSelector.deciderFor(service, now)
        if (decider == null || decider == options.node) return reporter.discardChanges(service)
        effects += DispatchEffect.Report(decider, createReport(service, now))
    }

    /** Keeps handing over while any server of [service] has a request limit, also when this VM has no requests. */
    private fun handOver(
        service: String,
        now: Instant,
        effects: MutableList<DispatchEffect>,
    ) {
        handOvers -= service
        if (!pool.hasLimits(service)) return
        if (now - reporter.lastReportAt(service) >= HAND_OVER_INTERVAL / 2) sendReport(service, now, effects)
        scheduleHandOver(service, effects)
    }

    private fun scheduleHandOver(
        service: String,
        effects: MutableList<DispatchEffect>,
    ) {
        if (handOvers.add(service)) effects += DispatchEffect.ScheduleHandOver(service, HAND_OVER_INTERVAL)
    }

    private fun createReport(
        service: String,
        now: Instant,
    ) = reporter.createReport(
        service,
        runningAttemptsAt(service),
        pendingQuestionsAt(service),
        pool.handOverLimits(service, now),
        quarantine,
        now,
    )

    private fun runningAttemptsAt(service: String): List<RunningAttempt> =
        open.values.mapNotNull { it.running }.filter { it.server.known.server.service == service }

    private fun pendingQuestionsAt(service: String): List<Long> =
        open.values.filter { it.request.services.firstOrNull()?.name == service }.mapNotNull { it.openQuestion?.number }

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

    /** Removes a request that has ended from the queue of the decider that was asked. */
    private fun withdraw(
        request: RoutedRequest,
        openQuestion: OpenQuestion,
        effects: MutableList<DispatchEffect>,
    ) {
        poolDecider.withdraw(options.node, openQuestion.number)
        request.services.firstOrNull()?.let { reporter.recordChange(it.name) }?.let { effects += it }
    }

    private fun updateNodes(
        changed: DispatchEvent.NodesChanged,
        now: Instant,
    ) {
        if (changed.nodes.size != pool.nodes.size) retryBudgets.clear()
        pool.setNodes(changed.nodes, now)
        deciderSelector.replace(changed.deciders)
        poolDecider.retainOnly(pool.nodes)
    }

    private fun retryBudgetOf(service: ServiceDefinition) =
        retryBudgets.getOrPut(service.name) { ServiceRetryBudget(options.retryLimit, pool.nodes.size) }

    private companion object {
        // Nearly every server needs longer than this, so the answer would come after the caller has stopped waiting.
        val MIN_TIME_TO_SEND = 20.milliseconds

        // A rejection by a full server runs nothing, but each one costs a round trip and a request to the service.
        const val MAX_SENDS = 4
        const val LOAD_STEPS_PER_SECOND = 100.0

        // Long enough to smooth single long prompts, short against the start-up time of a new server.
        val LOAD_HALF_LIFE = 2.seconds

        // Shorter than the lifetime of what is handed over.
        val HAND_OVER_INTERVAL = 1.seconds

        // Several times the time allowed for an answer; after that the load of the engines has changed.
        val MAX_ANSWER_AGE = 100.milliseconds
    }
}
