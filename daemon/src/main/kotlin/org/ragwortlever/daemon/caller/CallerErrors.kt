// Converts refusals to responses with RFC 9457 problem details.
package org.ragwortlever.daemon.caller

import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.http4k.core.Response
import org.http4k.core.Status
import org.ragwortlever.core.error.Refusal
import org.ragwortlever.core.error.answer
import org.ragwortlever.core.error.toProblemDetails

/** Returns the response that refuses the request [requestId], with `Retry-After` if the refusal gives a delay. */
internal fun Refusal.toResponse(requestId: String): Response {
    val answer = kind.answer()
    val response =
        Response(Status(answer.status, answer.title))
            .header("Content-Type", "application/problem+json")
            .body(Json.encodeToString(toProblemDetails(requestId)))
    return retryAfterSeconds?.let { response.header("Retry-After", it.toString()) } ?: response
}
