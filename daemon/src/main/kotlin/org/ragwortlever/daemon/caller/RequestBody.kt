// Reads a request's body up to the configured limit.
package org.ragwortlever.daemon.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.http4k.core.Request
import org.ragwortlever.core.error.ErrorKind
import org.ragwortlever.core.error.Refusal

/** Reads the body; refuses the request if the body is longer than [limit] bytes. */
internal fun Request.readBody(limit: Long): Result<ByteArray, Refusal> {
    val announced = body.length ?: 0
    if (announced > limit) return Err(bodyTooLarge(limit))
    val bytes = body.stream.readNBytes(limit.toInt() + 1)
    return if (bytes.size > limit) Err(bodyTooLarge(limit)) else Ok(bytes)
}

private fun bodyTooLarge(limit: Long) = Refusal(ErrorKind.BODY_TOO_LARGE, "the request body exceeds the limit of $limit bytes")
