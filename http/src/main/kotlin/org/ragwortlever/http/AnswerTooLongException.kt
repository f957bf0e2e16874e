/*
 * Reads responses within size limits. A faulty server may send bytes without end; the limits fail its exchange before the
 * process runs out of memory and loses all other requests.
 */
package org.ragwortlever.http

import okhttp3.ResponseBody
import okio.Buffer
import okio.BufferedSource
import java.io.IOException

/** A response or a part of it exceeded its size limit. The exchange has failed, but the server may have run the request. */
class AnswerTooLongException(
    message: String,
) : IOException(message)

/**
 * Reads the whole body.
 *
 * @param onGrowth called whenever the read holds more memory, with the number of bytes that it holds; may throw.
 * @throws AnswerTooLongException if the body is longer than [limit] bytes. The rest is not read; cancel the call then.
 */
fun ResponseBody.readUpTo(
    limit: Long,
    onGrowth: (heldBytes: Long) -> Unit = {},
): Buffer {
    if (contentLength() > limit) throw AnswerTooLongException("the response body exceeds the limit of $limit bytes")
    val content = Buffer()
    val source = source()
    while (source.read(content, READ_BYTES) >= 0) {
        if (content.size > limit) throw AnswerTooLongException("the response body exceeds the limit of $limit bytes")
        onGrowth(content.size)
    }
    source.close()
    return content
}

/**
 * Returns the next line without its line end; null at the end of the source.
 *
 * @throws AnswerTooLongException if the line is longer than [limit] bytes.
 */
fun BufferedSource.readLineUpTo(limit: Long): String? {
    if (exhausted()) return null
    val hasLineEnd = indexOf('\n'.code.toByte(), 0, limit) >= 0
    if (!hasLineEnd && request(limit)) throw AnswerTooLongException("a line of the response exceeds the limit of $limit bytes")
    return readUtf8Line()
}

private const val READ_BYTES = 8192L
