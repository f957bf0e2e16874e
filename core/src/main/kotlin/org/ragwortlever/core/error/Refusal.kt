// Refusals of requests, sent to callers as RFC 9457 problem details with additional members.
package org.ragwortlever.core.error

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a refused request may have run on a backend server. */
@Serializable
enum class Executed {
    /** No byte of the request can have reached a backend server, or the server proved that it did not run it. */
    @SerialName("no")
    NO,

    /** A byte may have reached a backend server. */
    @SerialName("unknown")
    UNKNOWN,
}

/**
 * Why a request is refused.
 *
 * @property detail names the input, the place in it and the violated rule.
 * @property retryAfterSeconds time after which a retry makes sense, in seconds; null when it never does.
 */
data class Refusal(
    val kind: ErrorKind,
    val detail: String,
    val executed: Executed = Executed.NO,
    val retryAfterSeconds: Int? = null,
)

/** Response body of a refusal, sent as `application/problem+json`. */
@Serializable
data class ProblemDetails(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String,
    val kind: String,
    val executed: Executed,
    val retryAfterSeconds: Int? = null,
    val requestId: String,
)

/** Converts this refusal of the request [requestId] to problem details. */
fun Refusal.toProblemDetails(requestId: String): ProblemDetails {
    val answer = kind.answer()
    return ProblemDetails(
        type = "urn:ragwortlever:error:${kind.code}",
        title = answer.title,
        status = answer.status,
        detail = detail,
        kind = kind.code,
        executed = executed,
        retryAfterSeconds = retryAfterSeconds,
        requestId = requestId,
    )
}
