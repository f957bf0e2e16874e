// The body of a request, and the refusal of a body that the server did not accept.
package org.ragwortlever.daemon.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import okio.Buffer
import okio.ByteString
import okio.ByteString.Companion.toByteString
import org.http4k.core.Request
import org.ragwortlever.core.error.ErrorKind
import org.ragwortlever.core.error.Refusal
import org.ragwortlever.core.intake.RequestRejection
import org.ragwortlever.http.ReceivedBody

/** Returns the body without a copy if the server has received it; refuses the request if it is longer than [limit] bytes. */
internal fun Request.readBody(limit: Long): Result<ByteString, Refusal> {
    val announced = body.length ?: 0
    if (announced > limit) return Err(bodyTooLarge(limit))
    val content = (body as? ReceivedBody)?.content ?: body.stream.readNBytes(limit.toInt() + 1).toByteString()
    return if (content.size > limit) Err(bodyTooLarge(limit)) else Ok(content)
}

/** SHA-256 hash of [prefix] and [body] in lower-case hexadecimal. */
internal fun digestOf(
    prefix: String,
    body: ByteString,
): String = Buffer().writeUtf8(prefix).write(body).sha256().hex()

/** The refusal of a request that was rejected while it was received, so nothing of it has run. */
internal fun RequestRejection.toRefusal(limit: Long): Refusal =
    when (this) {
        RequestRejection.BODY_TOO_LARGE -> {
            bodyTooLarge(limit)
        }
        RequestRejection.MALFORMED_BODY -> {
            Refusal(ErrorKind.MALFORMED_REQUEST, "the request body is not framed as HTTP/1.1 defines")
        }
        RequestRejection.NO_ROOM -> {
            Refusal(ErrorKind.NO_ROOM, "the requests of all callers fill the memory for them", retryAfterSeconds = NO_ROOM_RETRY_SECONDS)
        }
    }

private fun bodyTooLarge(limit: Long) = Refusal(ErrorKind.BODY_TOO_LARGE, "the request body exceeds the limit of $limit bytes")

// Requests that stand still are given up within this time.
private const val NO_ROOM_RETRY_SECONDS = 1
