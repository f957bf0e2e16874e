/*
 * Finds requests whose end two readers could see at different places. Such a request could carry a second one past
 * the checks of the first.
 */
package org.ragwortlever.http

import io.undertow.server.HttpServerExchange
import io.undertow.util.Headers

/** Whether the request's headers leave open where its body ends. */
internal fun HttpServerExchange.hasAmbiguousFraming(): Boolean =
    isFramingAmbiguous(
        lengths = requestHeaders[Headers.CONTENT_LENGTH].orEmpty(),
        encodings = requestHeaders[Headers.TRANSFER_ENCODING].orEmpty(),
    )

/** As [hasAmbiguousFraming], for the values of `Content-Length` and `Transfer-Encoding`. */
internal fun isFramingAmbiguous(
    lengths: Collection<String>,
    encodings: Collection<String>,
): Boolean =
    when {
        encodings.isNotEmpty() -> lengths.isNotEmpty() || encodings.size > 1 || !encodings.first().equals("chunked", ignoreCase = true)
        else -> lengths.size > 1 || lengths.any { length -> length.isEmpty() || !length.all { it in '0'..'9' } }
    }
