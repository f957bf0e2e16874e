/*
 * Messages between the entry VMs and the decider of a pool of backend servers. Each report holds all open attempts of
 * its VM, so a lost or repeated report does no harm and a new decider soon has the full state.
 */
package org.ragwortlever.core.dispatch

import kotlinx.serialization.Serializable
import org.ragwortlever.core.backend.ServerFailure

/**
 * An open attempt on [server].
 *
 * @property unreadTokens prompt tokens that the server has probably not prefilled yet.
 * @property heldTokens prompt and answer tokens that take memory on the server.
 * @property tier urgency of the request; 0 is the highest.
 * @property answerTokens the part of [heldTokens] that is kept for the answer.
 */
@Serializable
data class ReportedAttempt(
    val server: String,
    val unreadTokens: Int,
    val heldTokens: Int,
    val tier: Int = 0,
    val answerTokens: Int = 0,
)

/**
 * How an attempt on [server] ended; [failure] is null after a complete answer.
 *
 * @property parts ids of the parts of the answered prompt, in order; empty after a failure.
 */
@Serializable
data class ReportedEnd(
    val server: String,
    val failure: ServerFailure?,
    val parts: List<String> = emptyList(),
)

/**
 * An attempt that broke off on the server process [process].
 *
 * @property isCrash whether the process is known to be gone.
 * @property parts ids of the parts of the attempt's prompt.
 * @property sound those of [parts] under which the reporting VM has seen a request complete.
 */
@Serializable
data class ReportedBreak(
    val process: String,
    val ageMilliseconds: Long,
    val isCrash: Boolean,
    val parts: Set<String>,
    val sound: Set<String> = emptySet(),
)

/** A prompt part that crashes servers of [service] and must not run there; found [ageMilliseconds] ago. */
@Serializable
data class QuarantinedPart(
    val service: String,
    val part: String,
    val ageMilliseconds: Long,
)

/**
 * A notice that [server] sent with an answer; [incarnation] is the start of its process.
 *
 * @property isLeaving whether the server is shutting down.
 * @property quietMilliseconds how long the server wants no new requests; 0 when it gave no time.
 */
@Serializable
data class ReportedNotice(
    val server: String,
    val incarnation: Long,
    val isLeaving: Boolean,
    val quietMilliseconds: Long,
)

/**
 * What a VM knows of the request limit that a process of [server] named; [incarnation] is the start of the process.
 *
 * @property requestsPerSecond requests that the server takes from all entry VMs together; null when the limit has ended.
 * @property observedMillisecondsAgo age of this knowledge.
 * @property shareRequests requests under the limit that the sender of the message hands over to its receiver.
 * @property shareAgeMilliseconds time in which what is handed over was accrued, up to now.
 */
@Serializable
data class ReportedLimit(
    val server: String,
    val incarnation: Long,
    val requestsPerSecond: Double?,
    val observedMillisecondsAgo: Long,
    val shareRequests: Double = 0.0,
    val shareAgeMilliseconds: Long = 0,
)

/**
 * Open attempts and recent events of the entry VM [node] at [service].
 *
 * @property sequence increases with each report, also across restarts of the VM.
 * @property attempts all open attempts.
 * @property pending numbers of the questions that are not answered yet.
 * @property ends attempts that ended since the last report.
 * @property notices notices that servers sent since the last report.
 * @property limits request limits of servers, with what this VM may send under them.
 * @property breaks attempts of this VM that broke off in the last seconds.
 * @property quarantined prompt parts that this VM knows to crash servers of the service.
 */
@Serializable
data class PoolReport(
    val node: String,
    val service: String,
    val sequence: Long,
    val attempts: List<ReportedAttempt>,
    val pending: List<Long>,
    val ends: List<ReportedEnd>,
    val notices: List<ReportedNotice> = emptyList(),
    val limits: List<ReportedLimit> = emptyList(),
    val breaks: List<ReportedBreak> = emptyList(),
    val quarantined: List<QuarantinedPart> = emptyList(),
)

/**
 * Asks the decider for a backend server. A request that has to wait asks again under the same number.
 *
 * @property number identifies the request among those of its VM.
 * @property zone availability zone of the asking VM.
 * @property engineTokens cache size of one model engine of the service, in tokens; 0 when unknown.
 * @property excluded servers that this request must not get, and servers that the VM avoids.
 * @property cold cold servers to which the VM may send one request now.
 * @property tier urgency of the request; 0 is the highest.
 * @property targetMilliseconds time left until the first token is late; negative when it already is.
 * @property leftMilliseconds time left until the caller stops waiting.
 * @property hasBegun whether a server may have run part of the request, so that it can't be refused as not run.
 */
@Serializable
data class PoolQuestion(
    val report: PoolReport,
    val number: Long,
    val requestId: String,
    val parts: List<PromptPart>,
    val outputTokens: Int,
    val zone: String,
    val engineTokens: Int,
    val excluded: Set<String>,
    val cold: Set<String>,
    val tier: Int,
    val targetMilliseconds: Long,
    val leftMilliseconds: Long,
    val hasBegun: Boolean = false,
) {
    val promptTokens: Int get() = parts.sumOf { it.tokens }

    /** Ids of the parts that may be found to crash servers. */
    val partIds: List<String> get() = parts.trackedIds()

    /** Tokens of the last part, which no other request shares. */
    val ownTokens: Int get() = parts.lastOrNull()?.tokens ?: 0
}

/**
 * The server to send the request to.
 *
 * @property incarnation start of the server process that was chosen.
 * @property uncachedTokens prompt tokens that the server will have to prefill.
 * @property reason the score, for the record of the decision.
 */
@Serializable
data class PoolAdvice(
    val server: String,
    val incarnation: Long,
    val uncachedTokens: Int,
    val reason: String,
)

/** Answer of the decider to a [PoolQuestion]. */
@Serializable
sealed interface PoolAnswer {
    /** Send the request as [advice] says. */
    @Serializable
    data class Advised(
        val advice: PoolAdvice,
    ) : PoolAnswer

    /** No server can start the request soon; it stays in the queue and asks again after [milliseconds]. */
    @Serializable
    data class Wait(
        val milliseconds: Long,
    ) : PoolAnswer

    /**
     * The request can't be answered before its caller's deadline; similar requests can be from [retryAfterMilliseconds]
     * on.
     */
    @Serializable
    data class Refused(
        val retryAfterMilliseconds: Long,
    ) : PoolAnswer

    /** The request has a prompt part that crashes servers; it must not run. */
    @Serializable
    data object Quarantined : PoolAnswer

    /** The decider knows no suitable server. */
    @Serializable
    data object NoServer : PoolAnswer
}

/** An [answer] together with the request limits of the service's servers and the quarantined parts that the decider knows. */
@Serializable
data class PoolReply(
    val answer: PoolAnswer,
    val limits: List<ReportedLimit> = emptyList(),
    val quarantined: List<QuarantinedPart> = emptyList(),
)
