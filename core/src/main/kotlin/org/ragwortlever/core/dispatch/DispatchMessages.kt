// The events that the dispatcher takes and the effects that it asks for.
package org.ragwortlever.core.dispatch

import kotlinx.serialization.Serializable
import org.ragwortlever.core.backend.KnownServer
import org.ragwortlever.core.backend.ServerFailure
import org.ragwortlever.core.backend.ServerNotice
import org.ragwortlever.core.error.Refusal
import org.ragwortlever.core.route.Route
import org.ragwortlever.core.route.ServiceDefinition
import kotlin.time.Duration
import kotlin.time.Instant

/** A part of a prompt; requests whose prompts begin with the same parts share what a model engine has read of them. */
@Serializable
data class PromptPart(
    val id: String,
    val tokens: Int,
)

/**
 * A request as the dispatcher sees it.
 *
 * @property key identifies the request on this node; never used twice.
 * @property services services that may run it, the preferred one first.
 * @property tier urgency as in [org.ragwortlever.core.route.RouteTable.urgency]; 0 is the highest.
 * @property parts parts of the prompt in order, the last being its own; empty for requests to plain services.
 * @property outputTokens most tokens that the answer may have.
 * @property digest equal for requests with the same content, whoever sends them.
 * @property deadline when the caller stops waiting.
 */
data class RoutedRequest(
    val key: Long,
    val id: String,
    val route: Route,
    val services: List<ServiceDefinition>,
    val account: String?,
    val tier: Int,
    val parts: List<PromptPart>,
    val outputTokens: Int,
    val digest: String,
    val deadline: Instant,
) {
    val promptTokens: Int get() = parts.sumOf { it.tokens }
}

/** How an attempt on a backend server ended. */
sealed interface AttemptEnd {
    /** The whole answer has arrived. */
    data object Answered : AttemptEnd

    /** The request did not run: nothing was sent, or the server proved it. */
    data class NotRun(
        val failure: ServerFailure,
    ) : AttemptEnd

    /**
     * The attempt failed and may have run.
     *
     * @property canResume whether the part of the answer that has reached the caller can be continued elsewhere.
     */
    data class Failed(
        val failure: ServerFailure,
        val canResume: Boolean = true,
    ) : AttemptEnd
}

sealed interface DispatchEvent {
    data class RequestSubmitted(
        val request: RoutedRequest,
    ) : DispatchEvent

    /** The first byte of the answer to the request [key] has arrived. */
    data class FirstByteReceived(
        val key: Long,
    ) : DispatchEvent

    /** The present attempt of the request [key] has ended. */
    data class AttemptEnded(
        val key: Long,
        val end: AttemptEnd,
    ) : DispatchEvent

    /** The server [id] said [notice] in an answer; [incarnation] is the start of its process. */
    data class ServerNoticeReceived(
        val id: String,
        val incarnation: Long,
        val notice: ServerNotice,
    ) : DispatchEvent

    data class CallerDisconnected(
        val key: Long,
    ) : DispatchEvent

    /** The servers that may get requests have changed. */
    data class ServersChanged(
        val servers: List<KnownServer>,
    ) : DispatchEvent

    /** Availability zones that must get nothing new. */
    data class TakenOutZonesChanged(
        val zones: Set<String>,
    ) : DispatchEvent

    /**
     * The entry VMs that take requests.
     *
     * @property nodes their names.
     * @property deciders those that other VMs can ask, with the processor cores that each has.
     */
    data class NodesChanged(
        val nodes: Set<String>,
        val deciders: Map<String, Double> = emptyMap(),
    ) : DispatchEvent

    /** The answer to the question [number] for the request [key]; null when the deciding VM gave none in time. */
    data class AnswerReceived(
        val key: Long,
        val number: Long,
        val answer: PoolAnswer?,
    ) : DispatchEvent

    /** Another entry VM asks; the answer is a [DispatchEffect.Answer]. */
    data class QuestionReceived(
        val question: PoolQuestion,
    ) : DispatchEvent

    /** Another entry VM reports what it does. */
    data class ReportReceived(
        val report: PoolReport,
    ) : DispatchEvent

    /** The request [key], which waits under [number], is to ask again now. */
    data class QuestionDue(
        val key: Long,
        val number: Long,
    ) : DispatchEvent

    /** What happened at [service] since the last report or question is to be reported now. */
    data class ReportDue(
        val service: String,
    ) : DispatchEvent

    /** Another entry VM saw [server] fail under requests with [digests]. */
    data class CrashReportReceived(
        val server: String,
        val zone: String,
        val digests: Set<String>,
    ) : DispatchEvent
}

sealed interface DispatchEffect {
    /** What is to be done for the request [key] next. */
    sealed interface Decision : DispatchEffect {
        val key: Long
    }

    /** A decision that needs no other entry VM. */
    sealed interface LocalDecision : Decision

    /** Ask the entry VM [decider]; the answer comes back as [DispatchEvent.AnswerReceived]. */
    data class Ask(
        override val key: Long,
        val decider: String,
        val question: PoolQuestion,
    ) : Decision

    /**
     * Send the request to [server].
     *
     * @property firstByteTimeout longest time to wait for the first byte before the attempt is given up; null for no limit of its own.
     */
    data class Send(
        override val key: Long,
        val server: KnownServer,
        val attempt: Int,
        val firstByteTimeout: Duration?,
        val reason: String,
    ) : LocalDecision

    /** Give the caller its final answer at once. */
    data class Refuse(
        override val key: Long,
        val refusal: Refusal,
    ) : LocalDecision

    /** The answer to another entry VM's question. */
    data class Answer(
        val answer: PoolAnswer,
    ) : DispatchEffect

    /** Send a [DispatchEvent.ReportDue] after [delay]. */
    data class ScheduleReport(
        val service: String,
        val delay: Duration,
    ) : DispatchEffect

    /** Send a [DispatchEvent.QuestionDue] after [delay]. */
    data class ScheduleQuestion(
        val key: Long,
        val number: Long,
        val delay: Duration,
    ) : DispatchEffect

    /** Tell the entry VM [decider] what this one does. */
    data class Report(
        val decider: String,
        val report: PoolReport,
    ) : DispatchEffect

    /** Tell the other entry VMs that [server] failed under requests with [digests]. */
    data class ReportCrash(
        val server: String,
        val zone: String,
        val digests: Set<String>,
    ) : DispatchEffect
}
