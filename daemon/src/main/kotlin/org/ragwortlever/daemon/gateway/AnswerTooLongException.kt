/*
 * Bounds what one backend server's answer may take of this VM's memory. A invalid server may send bytes without end;
 * they must end its exchange and not the process with all its other streams.
 */
package org.ragwortlever.daemon.gateway

import okhttp3.ResponseBody
import java.io.IOException

/** The server sent more than an answer may have; the exchange has failed and may have run. */
internal class AnswerTooLongException(
    message: String,
) : IOException(message)

/** The whole body; an [AnswerTooLongException] once it is longer than [limit] bytes, and the rest is not read. */
internal fun ResponseBody.readBytesUpTo(limit: Long): ByteArray {
    if (contentLength() > limit || source().request(limit + 1)) throw AnswerTooLongException("the answer is longer than $limit bytes")
    return bytes()
}

/** Answers that are held whole before the first byte goes out. */
internal const val MAX_ANSWER_BYTES: Long = 2L * 1024 * 1024

/** An event is a few tokens of text; a longer one is no event of a model engine. */
internal const val MAX_EVENT_BYTES: Long = 256L * 1024
