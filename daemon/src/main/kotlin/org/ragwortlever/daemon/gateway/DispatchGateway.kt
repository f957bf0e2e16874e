// Carries events from traffic threads to the dispatcher on the control thread, and its effects back.
package org.ragwortlever.daemon.gateway

import org.ragwortlever.core.dispatch.DispatchEffect
import org.ragwortlever.core.dispatch.DispatchEvent
import org.ragwortlever.core.dispatch.Dispatcher
import org.ragwortlever.core.dispatch.PoolAnswer
import org.ragwortlever.core.dispatch.PoolQuestion
import org.ragwortlever.core.dispatch.PoolReport
import org.ragwortlever.core.dispatch.RoutedRequest
import org.ragwortlever.daemon.control.ControlLoop
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A request's place at the dispatcher: its decisions arrive here in order. */
internal class SubmittedRequest(
    val request: RoutedRequest,
) {
    private val decisions = LinkedBlockingQueue<DispatchEffect.Decision>()

    fun awaitDecision(): DispatchEffect.Decision = decisions.take()

    fun addDecision(decision: DispatchEffect.Decision) = decisions.add(decision)
}

/** The other entry VMs as the dispatcher needs them. */
internal interface DispatchPeers {
    /** The answer of the entry VM [decider]; null when it gives none within [timeout]. Blocks. */
    fun ask(
        decider: String,
        question: PoolQuestion,
        timeout: Duration,
    ): PoolAnswer?

    /** Tells the entry VM [decider]; does not block, and what does not arrive is made up for by the next report. */
    fun report(
        decider: String,
        report: PoolReport,
    )

    /** Tells all other entry VMs of a crash; does not block. */
    fun reportCrash(crash: DispatchEffect.ReportCrash)
}

/** Runs [dispatcher] on [control]. */
internal class DispatchGateway(
    private val control: ControlLoop,
    private val dispatcher: Dispatcher,
    private val clock: Clock,
    private val peers: DispatchPeers,
) {
    private val submittedRequests = ConcurrentHashMap<Long, SubmittedRequest>()

    fun submit(request: RoutedRequest): SubmittedRequest {
        val submitted = SubmittedRequest(request)
        submittedRequests[request.key] = submitted
        post(DispatchEvent.RequestSubmitted(request))
        return submitted
    }

    /** The next decision for [submitted]; what another entry VM has to be asked is asked on the calling thread. */
    fun awaitDecision(submitted: SubmittedRequest): DispatchEffect.LocalDecision {
        while (true) {
            when (val decision = submitted.awaitDecision()) {
                is DispatchEffect.LocalDecision -> {
                    return decision
                }
                is DispatchEffect.Ask -> {
                    val answer = peers.ask(decision.decider, decision.question, ANSWER_TIMEOUT)
                    post(DispatchEvent.AnswerReceived(decision.key, decision.question.number, answer))
                }
            }
        }
    }

    /** Answers another entry VM's [question]; null when the control thread is too busy for it. */
    fun answer(question: PoolQuestion): PoolAnswer? {
        val answer = CompletableFuture<PoolAnswer?>()
        control.post {
            val effects = dispatcher.handle(DispatchEvent.QuestionReceived(question), clock.now())
            answer.complete(effects.filterIsInstance<DispatchEffect.Answer>().firstOrNull()?.answer)
        }
        return try {
            answer.get(ANSWER_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            // Nobody waits for it any more.
            null
        }
    }

    /** Ends the submitted; the dispatcher forgets what is left of the request. */
    fun release(submitted: SubmittedRequest) {
        if (submittedRequests.remove(submitted.request.key) != null) post(DispatchEvent.CallerDisconnected(submitted.request.key))
    }

    fun post(event: DispatchEvent) = control.post { dispatcher.handle(event, clock.now()).forEach(::execute) }

    private fun execute(effect: DispatchEffect) {
        when (effect) {
            is DispatchEffect.Decision -> submittedRequests[effect.key]?.addDecision(effect)
            is DispatchEffect.ReportCrash -> peers.reportCrash(effect)
            is DispatchEffect.Report -> peers.report(effect.decider, effect.report)
            is DispatchEffect.ScheduleReport -> control.after(effect.delay) { post(DispatchEvent.ReportDue(effect.service)) }
            is DispatchEffect.ScheduleQuestion -> control.after(effect.delay) { post(DispatchEvent.QuestionDue(effect.key, effect.number)) }
            is DispatchEffect.Answer -> Unit
        }
    }

    private companion object {
        // A round trip inside a region takes a few milliseconds; a request must not wait longer for a VM that is gone.
        val ANSWER_TIMEOUT = 30.milliseconds
    }
}
