/*
 * Rejects responses whose head is malformed. OkHttp reads heads leniently: of several lengths it takes the last, and an
 * unreadable one counts as none. A part of a body could then pass for the whole. The lines of heads are checked before
 * OkHttp reads them, by ResponseFraming.
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
            isFramingAmbiguous(headers.values("Content-Length"), headers.values("Transfer-Encoding")) -> {
                "the headers do not determine the end of the body"
            }
            else -> {
                null
            }
        }

    private val VALID_STATUSES = 100..599
}
