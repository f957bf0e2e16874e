// Tells what kind of body a backend server's response has, and how its end is marked.
package org.ragwortlever.daemon.gateway

import okhttp3.Response
import org.ragwortlever.core.answer.AnswerFraming

/** How the end of this response's body is recognized. */
internal val Response.framing: AnswerFraming
    get() =
        when {
            header("Transfer-Encoding").equals("chunked", ignoreCase = true) -> AnswerFraming.CHUNKS
            body.contentLength() < 0 -> AnswerFraming.CLOSE
            else -> AnswerFraming.LENGTH
        }

/** Whether the response is a stream of server-sent events. */
internal val Response.isEventStream: Boolean
    get() = code == OK_STATUS && body.contentType()?.let { it.type == "text" && it.subtype == "event-stream" } == true

/** Returns why this response to a request for the rest of a stream is not that; null if it is. */
internal fun Response.findContinuationFault(): String? =
    if (isEventStream) null else "status $code with content type ${body.contentType()} does not continue a stream"

private const val OK_STATUS = 200
