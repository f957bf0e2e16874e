// Events that the dispatcher handles and effects that it returns.
package org.ragwortlever.core.dispatch

import kotlinx.serialization.Serializable
import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.backend.KnownServer
import org.ragwortlever.core.backend.ServerFailure
import org.ragwortlever.core.backend.ServerNotice
import org.ragwortlever.core.error.Refusal
import org.ragwortlever.core.rollout.RolloutRecord
import org.ragwortlever.core.rollout.VersionShare
import org.ragwortlever.core.route.Route
import org.ragwortlever.core.route.ServiceDefinition
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * A part of a prompt. Requests whose prompts begin with the same parts share an engine's prefix cache for them.
 *
 * @property id equal for equal parts.
 * @property tokens length of the part.
 */
@Serializable
data class PromptPart(
    val id: String,
    val tokens: Int,
)

/**
 * A request as the dispatcher sees it.
 *
 * @property key identifies the request on this node; never reused.
 * @property services services that may run the request, the preferred one first.
 * @property tier urgency as in [org.ragwortlever.core.route.RouteTable.tierOf]; 0 is the highest.
 * @property parts parts of the prompt in order, the last one unique to this request; empty for requests to plain
 *     services.
 * @property outputTokens maximum tokens of the answer.
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

    /** Ids of the parts that may be found to crash servers. */
    val partIds: List<String> get() = parts.trackedIds()

    /** Memory of the model engine of [server], in tokens; null when unknown. */
    internal fun engineTokensAt(server: ServerState): Int? =
        services.firstOrNull { it.name == server.known.server.service }?.engine?.cacheTokens
}

/**
 * Ids of the parts that are reported between entry VMs. Callers choose the number and length of the ids, and reports, whose
 * size is bounded, repeat those of many requests; so a part with a longer id, and one between the first and the last of a
 * long list, is not followed up.
 */
fun List<PromptPart>.trackedIds(): List<String> {
    val ids = map { it.id }.filter { it.length <= MAX_TRACKED_ID_LENGTH }
    return if (ids.size <= MAX_TRACKED_PARTS) ids else ids.take(MAX_TRACKED_PARTS - 1) + ids.last()
}

private const val MAX_TRACKED_PARTS = 8
private const val MAX_TRACKED_ID_LENGTH = 64

/** How an attempt on a backend server ended. */
sealed interface AttemptEnd {
    /** The complete answer has arrived. */
    data object Answered : AttemptEnd

    /** The request did not run: nothing was sent, or the server proved that it did not run it. */
    data class NotRun(
        val failure: ServerFailure,
    ) : AttemptEnd

    /**
     * The attempt failed, and the request may have run.
     *
     * @property canResume whether another server can continue the answer after the part that has reached the caller.
     */
    data class Failed(
        val failure: ServerFailure,
        val canResume: Boolean = true,
    ) : AttemptEnd
}

/** An input of the dispatcher. */
sealed interface DispatchEvent {
    /** A caller has sent [request]. */
    data class RequestSubmitted(
        val request: RoutedRequest,
    ) : DispatchEvent

    /** The first byte of the answer to the request [key] has arrived. */
    data class FirstByteReceived(
        val key: Long,
    ) : DispatchEvent

    /** The current attempt of the request [key] has ended. */
    data class AttemptEnded(
        val key: Long,
        val end: AttemptEnd,
    ) : DispatchEvent

    /** The server [id] sent [notice] with an answer; [incarnation] is the start of its process. */
    data class ServerNoticeReceived(
        val id: String,
        val incarnation: Long,
        val notice: ServerNotice,
    ) : DispatchEvent

    /** The caller of the request [key] has disconnected, so the request is dropped. */
    data class CallerDisconnected(
        val key: Long,
    ) : DispatchEvent

    /** The servers that may get requests have changed. */
    data class ServersChanged(
        val servers: List<KnownServer>,
    ) : DispatchEvent

    /** The availability zones whose servers must not get new requests have changed. */
    data class TakenOutZonesChanged(
        val zones: Set<String>,
    ) : DispatchEvent

    /**
     * The entry VMs have changed.
     *
     * @property nodes names of the entry VMs that take requests.
     * @property deciders entry VMs that can decide for others, with their number of processor cores.
     */
    data class NodesChanged(
        val nodes: Set<String>,
        val deciders: Map<String, Double> = emptyMap(),
    ) : DispatchEvent

    /** The reply to the question [number] for the request [key]; null when the decider did not answer in time. */
    data class AnswerReceived(
        val key: Long,
        val number: Long,
        val reply: PoolReply?,
    ) : DispatchEvent

    /** Another entry VM asks for a server. The answer is a [DispatchEffect.Answer]. */
    data class QuestionReceived(
        val question: PoolQuestion,
    ) : DispatchEvent

    /** Another entry VM reports its open attempts. */
    data class ReportReceived(
        val report: PoolReport,
    ) : DispatchEvent

    /** The request [key], queued under [number], has to ask again now. */
    data class QuestionDue(
        val key: Long,
        val number: Long,
    ) : DispatchEvent

    /** The changes at [service] since the last report or question have to be reported now. */
    data class ReportDue(
        val service: String,
    ) : DispatchEvent

    /** What this VM may send under the request limits of servers of [service] has to be handed over now. */
    data class HandOverDue(
        val service: String,
    ) : DispatchEvent

    /** The process of the server [id] that started at [incarnation] refuses connections. */
    data class ServerUnreachable(
        val id: String,
        val incarnation: Long,
    ) : DispatchEvent

    /** Another entry VM has found [parts] that crash servers. */
    data class QuarantineReceived(
        val parts: List<QuarantinedPart>,
    ) : DispatchEvent

    /**
     * The roll-outs have changed.
     *
     * @property shares what the version under roll-out of a service gets, by service.
     * @property open roll-outs whose versions are compared.
     */
    data class RolloutsChanged(
        val shares: Map<String, VersionShare>,
        val open: List<RolloutRecord>,
    ) : DispatchEvent

    /** Another entry VM reports that [server] crashed while it ran requests with [digests]. */
    data class CrashReportReceived(
        val server: String,
        val zone: String,
        val digests: Set<String>,
    ) : DispatchEvent
}

// Far longer than a busy VM takes to wake a thread, and short against the windows over which limits on servers hold.
private val MAX_DECISION_AGE = 500.milliseconds

/** An action that the dispatcher asks its owner to carry out. */
sealed interface DispatchEffect {
    /** The next step for the request [key]. */
    sealed interface Decision : DispatchEffect {
        val key: Long
    }

    /** A decision that needs no other entry VM. */
    sealed interface LocalDecision : Decision

    /** Asks the entry VM [decider]; its answer comes back as [DispatchEvent.AnswerReceived]. */
    data class Ask(
        override val key: Long,
        val decider: String,
        val question: PoolQuestion,
    ) : Decision

    /**
     * Sends the request to [server].
     *
     * @property attempt number of this send, from 1.
     * @property reason why this server was chosen, for the record of the decision.
     * @property firstByteTimeout how long to wait for the first byte before the attempt is given up; null when only the
     *     deadline of the request applies.
     */
    data class Send(
        override val key: Long,
        val server: KnownServer,
        val attempt: Int,
        val firstByteTimeout: Duration?,
        val reason: String,
        val decidedAt: Instant,
    ) : LocalDecision {
        /** Whether the decision is too old to be carried out: rate limits and the server's state may have changed since. */
        fun isExpired(now: Instant): Boolean = now - decidedAt > MAX_DECISION_AGE
    }

    /** Gives the caller its final answer: the request is refused with [refusal]. */
    data class Refuse(
        override val key: Long,
        val refusal: Refusal,
    ) : LocalDecision

    /** Answers the question of another entry VM. */
    data class Answer(
        val reply: PoolReply,
    ) : DispatchEffect

    /** Posts a [DispatchEvent.ReportDue] after [delay]. */
    data class ScheduleReport(
        val service: String,
        val delay: Duration,
    ) : DispatchEffect

    /** Posts a [DispatchEvent.HandOverDue] after [delay]. */
    data class ScheduleHandOver(
        val service: String,
        val delay: Duration,
    ) : DispatchEffect

    /** Posts a [DispatchEvent.QuestionDue] after [delay]. */
    data class ScheduleQuestion(
        val key: Long,
        val number: Long,
        val delay: Duration,
    ) : DispatchEffect

    /** Reports the open attempts of this VM to the entry VM [decider]. */
    data class Report(
        val decider: String,
        val report: PoolReport,
    ) : DispatchEffect

    /** Checks whether the process of [server] takes connections; if not, posts a [DispatchEvent.ServerUnreachable]. */
    data class CheckServer(
        val server: BackendServer,
    ) : DispatchEffect

    /**
     * Tells all other entry VMs that [part] must not run.
     *
     * @property processes the server processes that crashed under the part.
     */
    data class ReportQuarantine(
        val part: QuarantinedPart,
        val processes: Set<String>,
    ) : DispatchEffect

    /** Reports to the other entry VMs that [server] crashed while it ran requests with [digests]. */
    data class ReportCrash(
        val server: String,
        val zone: String,
        val digests: Set<String>,
    ) : DispatchEffect
}
