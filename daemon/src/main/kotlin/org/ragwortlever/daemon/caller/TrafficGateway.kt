// Carries events from traffic threads to the traffic controller on the control thread, and its effects back.
package org.ragwortlever.daemon.caller

import io.github.oshai.kotlinlogging.KotlinLogging
import org.ragwortlever.core.configuration.ConfigurationSnapshot
import org.ragwortlever.core.error.ErrorKind
import org.ragwortlever.core.error.Refusal
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.core.traffic.AttemptId
import org.ragwortlever.core.traffic.RequestDescription
import org.ragwortlever.core.traffic.RequestId
import org.ragwortlever.core.traffic.RoutingDecision
import org.ragwortlever.core.traffic.TICK_MILLISECONDS
import org.ragwortlever.core.traffic.TrafficController
import org.ragwortlever.core.traffic.TrafficEffect
import org.ragwortlever.core.traffic.TrafficEvent
import org.ragwortlever.daemon.control.ControlLoop
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.LinkedBlockingQueue
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds

/** A request's place at the controller: its decisions arrive here in order. */
class SubmittedChatRequest internal constructor(
    val request: RequestDescription,
    internal val keyHash: String,
) {
    /** Why the request was ended from outside; null while it goes on. */
    @Volatile
    internal var endRefusal: Refusal? = null

    internal val decisions = LinkedBlockingQueue<TrafficEffect>()

    /** Waits for the next decision: a dispatch or a refusal. */
    fun awaitDecision(): TrafficEffect = decisions.take()
}

class TrafficGateway(
    private val control: ControlLoop,
    private val controller: TrafficController,
    private val clock: Clock,
    private val onDecision: (RoutingDecision) -> Unit = {},
) {
    private val submittedRequests = ConcurrentHashMap<RequestId, SubmittedChatRequest>()
    private val attemptCancellations = ConcurrentHashMap<AttemptId, () -> Unit>()

    /** Requests that are not answered yet. */
    val openRequests: Int get() = submittedRequests.size

    fun start() {
        control.every(TICK_MILLISECONDS.milliseconds) { handle(TrafficEvent.Tick) }
    }

    /** Hands [request] to the controller. The caller must [release] the submitted at the end. */
    fun submit(
        request: RequestDescription,
        keyHash: String,
    ): SubmittedChatRequest {
        val submitted = SubmittedChatRequest(request, keyHash)
        submittedRequests[request.id] = submitted
        post(TrafficEvent.Submit(request))
        return submitted
    }

    /** Ends the request of [submitted] with [refusal]: whatever runs for it is cancelled and its thread is woken. */
    internal fun end(
        submitted: SubmittedChatRequest,
        refusal: Refusal,
    ) {
        submitted.endRefusal = refusal
        post(TrafficEvent.CallerGone(submitted.request.id))
        submitted.decisions.add(TrafficEffect.Refuse(submitted.request.id, refusal))
    }

    /** Ends the requests whose keys [snapshot] no longer gives to their accounts. */
    fun endRequestsWithWithdrawnKeys(snapshot: ConfigurationSnapshot) {
        submittedRequests.values
            .filter { snapshot.accountOfKey(it.keyHash) != it.request.account }
            .forEach { end(it, Refusal(ErrorKind.INVALID_KEY, "the key was withdrawn")) }
    }

    /** Posts [event] to the controller. */
    fun post(event: TrafficEvent) = control.post { handle(event) }

    /** Registers how to cancel [attempt] upstream. */
    fun registerCancellation(
        attempt: AttemptId,
        cancel: () -> Unit,
    ) {
        attemptCancellations[attempt] = cancel
    }

    fun finishAttempt(
        attempt: AttemptId,
        event: TrafficEvent,
    ) {
        attemptCancellations.remove(attempt)
        post(event)
    }

    /** Ends the submitted; whatever still runs for it is cancelled. */
    fun release(submitted: SubmittedChatRequest) {
        if (submittedRequests.remove(submitted.request.id) != null) post(TrafficEvent.CallerGone(submitted.request.id))
    }

    private fun handle(event: TrafficEvent) {
        controller.handle(event, clock.now()).forEach(::execute)
    }

    private fun execute(effect: TrafficEffect) {
        when (effect) {
            is TrafficEffect.Dispatch -> {
                submittedRequests[effect.request]?.decisions?.add(effect)
            }
            is TrafficEffect.Refuse -> {
                submittedRequests[effect.request]?.decisions?.add(effect)
            }
            is TrafficEffect.Cancel -> {
                attemptCancellations.remove(effect.attempt)?.invoke()
            }
            is TrafficEffect.Decided -> {
                logger.info { effect.decision.logLine() }
                onDecision(effect.decision)
            }
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}

private fun RoutingDecision.logLine(): String =
    eventLine(
        "routed",
        "request" to request,
        "server" to chosen,
        "reason" to reason,
        "scores" to scores.entries.joinToString(",") { (server, score) -> "$server:%.3f".format(score) },
    )
