// Tells how a backend server marks the end of a response's body.
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
