// Tells what kind of body a backend server's response has, and how its end is marked.
package org.ragwortlever.daemon.gateway

import okhttp3.Response
import okio.Buffer
import org.ragwortlever.core.answer.AnswerFraming
import org.ragwortlever.core.answer.EventBuffer

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
    get() = isSuccessful && hasEvents

/** The events of this response. */
internal fun Response.serverEvents() = ServerEvents(body.source(), framing)

/** Returns why this response to a request for the rest of a stream is not that; null if it is. */
internal fun Response.findContinuationFault(): String? =
    if (code == OK_STATUS && hasEvents) null else "status $code with content type ${body.contentType()} does not continue a stream"

/**
 * Checks that the whole [content] of this response may be complete. Only events can show that it is not.
 *
 * @throws IncompleteStreamException if it is not.
 */
internal fun Response.checkContent(content: Buffer) {
    if (!hasEvents) return
    val bytes = content.snapshot().toByteArray()
    val buffer = EventBuffer()
    buffer.checkEnd(framing, hasEvents = buffer.append(bytes, bytes.size)?.ids.orEmpty().isNotEmpty())
}

private val Response.hasEvents: Boolean
    get() = body.contentType()?.let { it.type == "text" && it.subtype == "event-stream" } == true

private const val OK_STATUS = 200
