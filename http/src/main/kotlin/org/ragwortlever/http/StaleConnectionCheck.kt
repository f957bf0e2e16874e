/*
 * Checks a connection immediately before a request is sent on it. A server may have closed the connection while it was
 * idle, or may have sent bytes that belong to no request; the next request on it would then be lost or would get a wrong
 * response. OkHttp itself checks only connections that have been idle for ten seconds.
 */
package org.ragwortlever.http

import okhttp3.Interceptor
import okhttp3.Response
import java.io.IOException
import java.net.Socket
import java.net.SocketTimeoutException

/** A pooled connection is not usable any more; nothing of the request was sent on it. */
class StaleConnectionException(
    reason: String,
) : IOException(reason)

/** A network interceptor that throws [StaleConnectionException] instead of sending a request on a stale connection. */
object StaleConnectionCheck : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        chain.connection()?.socket()?.checkNothingToRead()
        return chain.proceed(chain.request())
    }

    /** Throws unless a read times out: an idle connection must have neither an end of stream nor bytes to read. */
    private fun Socket.checkNothingToRead() {
        val timeoutBefore = soTimeout
        val read =
            try {
                soTimeout = READ_TIMEOUT_MILLISECONDS
                getInputStream().read()
            } catch (_: SocketTimeoutException) {
                return
            } catch (failure: IOException) {
                throw StaleConnectionException("reading from the idle connection failed: ${failure.message}")
            } finally {
                if (!isClosed) soTimeout = timeoutBefore
            }
        throw StaleConnectionException(if (read < 0) "the server closed the idle connection" else "the server sent unrequested bytes")
    }

    // The shortest timeout that a socket supports; 0 would wait forever.
    private const val READ_TIMEOUT_MILLISECONDS = 1
}
