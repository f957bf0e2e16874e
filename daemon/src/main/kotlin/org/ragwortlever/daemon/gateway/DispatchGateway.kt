// Passes events from traffic threads to the dispatcher on the control thread and carries out the dispatcher's effects.
package org.ragwortlever.daemon.gateway

import org.ragwortlever.core.dispatch.DispatchEffect
import org.ragwortlever.core.dispatch.DispatchEvent
import org.ragwortlever.core.dispatch.Dispatcher
import org.ragwortlever.core.dispatch.PoolQuestion
import org.ragwortlever.core.dispatch.PoolReply
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

/** A request that was handed to the dispatcher, with the queue of the dispatcher's decisions on it. */
internal class SubmittedRequest(
    val request: RoutedRequest,
) {
    private val decisions = LinkedBlockingQueue<DispatchEffect.Decision>()

    /** Returns the next decision; blocks until there is one. */
    fun awaitDecision(): DispatchEffect.Decision = decisions.take()

    /** Appends [decision]; may be called from any thread. */
    fun addDecision(decision: DispatchEffect.Decision) = decisions.add(decision)
}

/** The dispatcher's connection to other entry VMs. */
internal interface DispatchPeers {
    /** Asks the entry VM [decider] and returns its reply, or null if none arrives within [timeout]. Blocks. */
    fun ask(
        decider: String,
        question: PoolQuestion,
        timeout: Duration,
    ): PoolReply?

    /** Sends [report] to the entry VM [decider]. Does not block; the next report makes up for a lost one. */
    fun report(
        decider: String,
        report: PoolReport,
    )

    /** Reports [crash] to all other entry VMs. Does not block. */
    fun reportCrash(crash: DispatchEffect.ReportCrash)

    /** Tells all other entry VMs of the [quarantine]. Does not block. */
    fun reportQuarantine(quarantine: DispatchEffect.ReportQuarantine)
}

/** Runs [dispatcher] on the control thread of [control]. Thread-safe. */
internal class DispatchGateway(
    private val control: ControlLoop,
    private val dispatcher: Dispatcher,
    private val clock: Clock,
    private val peers: DispatchPeers,
    private val serverCheck: ServerCheck,
) {
    private val submittedRequests = ConcurrentHashMap<Long, SubmittedRequest>()

    /** Hands [request] to the dispatcher. The caller must [release] the result when the request has ended. */
    fun submit(request: RoutedRequest): SubmittedRequest {
        val submitted = SubmittedRequest(request)
        submittedRequests[request.key] = submitted
        post(DispatchEvent.RequestSubmitted(request))
        return submitted
    }

    /** Returns the next final decision for [submitted]. Blocks; questions to other entry VMs run on the calling thread. */
    fun awaitDecision(submitted: SubmittedRequest): DispatchEffect.LocalDecision {
        while (true) {
            when (val decision = submitted.awaitDecision()) {
                is DispatchEffect.LocalDecision -> {
                    return decision
                }
                is DispatchEffect.Ask -> {
                    val reply = peers.ask(decision.decider, decision.question, ANSWER_TIMEOUT)
                    post(DispatchEvent.AnswerReceived(decision.key, decision.question.number, reply))
                }
            }
        }
    }

    /** Answers another entry VM's [question]; null if the control thread does not answer within [ANSWER_TIMEOUT]. */
    fun answer(question: PoolQuestion): PoolReply? {
        val reply = CompletableFuture<PoolReply?>()
        control.post {
            val effects = dispatcher.handle(DispatchEvent.QuestionReceived(question), clock.now())
            reply.complete(effects.filterIsInstance<DispatchEffect.Answer>().firstOrNull()?.reply)
        }
        return try {
            reply.get(ANSWER_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            // The asking VM has timed out as well, so the late answer is dropped.
            null
        }
    }

    /** Removes [submitted] and makes the dispatcher drop its remaining state. A second call has no effect. */
    fun release(submitted: SubmittedRequest) {
        if (submittedRequests.remove(submitted.request.key) != null) post(DispatchEvent.CallerDisconnected(submitted.request.key))
    }

    /** Queues [event] for the dispatcher; does not block. */
    fun post(event: DispatchEvent) = control.post { dispatcher.handle(event, clock.now()).forEach(::execute) }

    private fun execute(effect: DispatchEffect) {
        when (effect) {
            is DispatchEffect.Decision -> {
                submittedRequests[effect.key]?.addDecision(effect)
            }
            is DispatchEffect.ReportCrash -> {
                peers.reportCrash(effect)
            }
            is DispatchEffect.ReportQuarantine -> {
                peers.reportQuarantine(effect)
            }
            is DispatchEffect.CheckServer -> {
                serverCheck.check(effect.server) {
                    post(DispatchEvent.ServerUnreachable(effect.server.id, effect.server.incarnation))
                }
            }
            is DispatchEffect.Report -> {
                peers.report(effect.decider, effect.report)
            }
            is DispatchEffect.ScheduleReport -> {
                control.after(effect.delay) { post(DispatchEvent.ReportDue(effect.service)) }
            }
            is DispatchEffect.ScheduleQuestion -> {
                control.after(effect.delay) { post(DispatchEvent.QuestionDue(effect.key, effect.number)) }
            }
            is DispatchEffect.ScheduleHandOver -> {
                control.after(effect.delay) { post(DispatchEvent.HandOverDue(effect.service)) }
            }
            is DispatchEffect.Answer -> {
                Unit
            }
        }
    }

    private companion object {
        // A round trip within a region takes a few milliseconds; a longer wait would delay requests when the asked VM is gone.
        val ANSWER_TIMEOUT = 30.milliseconds
    }
}
