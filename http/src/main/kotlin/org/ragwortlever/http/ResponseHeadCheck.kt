/*
 * Rejects responses whose head is malformed. OkHttp reads heads leniently: of several lengths it takes the last, an
 * unreadable one counts as none, and a line that is no header becomes one. A part of a body could then pass for the whole.
 */
package org.ragwortlever.http

import okhttp3.Headers
import okhttp3.Interceptor
import okhttp3.Response
import java.io.IOException

/** A response breaks the protocol, so neither its content nor its end can be relied on. */
class MalformedResponseException(
    reason: String,
    cause: Throwable? = null,
) : IOException(reason, cause)

/** A network interceptor that throws [MalformedResponseException] for a response with a malformed head. */
internal object ResponseHeadCheck : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val socket =
            checkNotNull(chain.connection()?.socket() as? FramedSocket) { "the client's socket factory does not check the framing" }
        socket.beginResponse(chain.request().method)
        val response =
            try {
                chain.proceed(chain.request())
            } catch (failure: IllegalArgumentException) {
                throw MalformedResponseException("the response can't be read", failure)
            } catch (failure: IllegalStateException) {
                throw MalformedResponseException("the response can't be read", failure)
            }
        // The body is not closed, because OkHttp fails on a negative length; the failed call closes the connection.
        findFault(response.code, response.headers)?.let { throw MalformedResponseException(it) }
        return response
    }

    /** Returns what is wrong with a response's [status] or [headers]; null if they are well-formed. */
    fun findFault(
        status: Int,
        headers: Headers,
    ): String? =
        when {
            status !in VALID_STATUSES -> {
                "the status $status is invalid"
            }
            headers.any { (name, value) -> !name.isToken() || value.any { it.isForbiddenInValue() } } -> {
                "the head has an invalid line"
            }
            isFramingAmbiguous(headers.values("Content-Length"), headers.values("Transfer-Encoding")) -> {
                "the headers do not determine the end of the body"
            }
            else -> {
                null
            }
        }

    private fun Char.isForbiddenInValue() = (this < ' ' && this != '\t') || this == '\u007f'

    private val VALID_STATUSES = 100..599
}

/** Whether this is a token (RFC 9110, section 5.6.2), such as the name of a header. */
internal fun String.isToken() = isNotEmpty() && all { it in 'a'..'z' || it in 'A'..'Z' || it in '0'..'9' || it in TOKEN_SYMBOLS }

private const val TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~"
