/*
 * Detects messages whose body length two HTTP parsers could read differently. Such a request can smuggle a second
 * request past the checks that were made on the first (HTTP request smuggling); of such a response, a part of the body
 * could pass for the whole.
 */
package org.ragwortlever.http

import io.undertow.server.HttpServerExchange
import io.undertow.util.Headers

/** Whether the request's headers do not determine where its body ends. */
internal fun HttpServerExchange.hasAmbiguousFraming(): Boolean =
    isFramingAmbiguous(
        lengths = requestHeaders[Headers.CONTENT_LENGTH].orEmpty(),
        encodings = requestHeaders[Headers.TRANSFER_ENCODING].orEmpty(),
    )

/**
 * Whether the values of `Content-Length` ([lengths]) and `Transfer-Encoding` ([encodings]) do not determine where a
 * body ends. Unambiguous are no value, one decimal length that fits a Long without an encoding, and `chunked` without a
 * length.
 */
internal fun isFramingAmbiguous(
    lengths: Collection<String>,
    encodings: Collection<String>,
): Boolean =
    when {
        encodings.isNotEmpty() -> lengths.isNotEmpty() || encodings.size > 1 || !encodings.first().equals("chunked", ignoreCase = true)
        else -> lengths.size > 1 || lengths.any { length -> !length.all { it in '0'..'9' } || length.toLongOrNull() == null }
    }
