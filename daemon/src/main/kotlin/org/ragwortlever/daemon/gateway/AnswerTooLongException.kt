/*
 * Size limits for responses of backend servers. A faulty server may send bytes without end; the limits fail its
 * exchange before the VM runs out of memory and loses all other streams.
 */
package org.ragwortlever.daemon.gateway

import okhttp3.ResponseBody
import java.io.IOException

/** A response or an event exceeded its size limit. The exchange has failed, but the server may have run the request. */
internal class AnswerTooLongException(
    message: String,
) : IOException(message)

/**
 * Reads the whole body.
 *
 * @throws AnswerTooLongException if the body is longer than [limit] bytes; the rest is not read.
 */
internal fun ResponseBody.readBytesUpTo(limit: Long): ByteArray {
    if (contentLength() > limit || source().request(limit + 1)) {
        throw AnswerTooLongException("the response body exceeds the limit of $limit bytes")
    }
    return bytes()
}

/** Limit for a response that is buffered completely before its first byte is sent to the caller. */
internal const val MAX_ANSWER_BYTES: Long = 2L * 1024 * 1024

/** Limit for one server-sent event. A model engine's event holds a few tokens of text, so a longer one is a fault. */
internal const val MAX_EVENT_BYTES: Long = 256L * 1024
