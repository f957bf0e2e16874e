/*
 * Looks at a connection right before a request goes out on it. A server may have closed it while it was idle, or may
 * have sent bytes that belong to no request; whatever were sent on it next would be lost or answered wrongly. OkHttp
 * itself looks only at connections that were idle for ten seconds.
 */
package org.ragwortlever.http

import okhttp3.Interceptor
import okhttp3.Response
import java.io.IOException
import java.net.Socket
import java.net.SocketTimeoutException

/** The connection can't carry a request; nothing was sent on it. */
class StaleConnectionException(
    reason: String,
) : IOException(reason)

/** A network interceptor that throws [StaleConnectionException] instead of sending on a dead connection. */
object StaleConnectionCheck : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        chain.connection()?.socket()?.checkNothingToRead()
        return chain.proceed(chain.request())
    }

    /** A quiet connection has nothing to read: no end and no bytes. */
    private fun Socket.checkNothingToRead() {
        val timeoutBefore = soTimeout
        val read =
            try {
                soTimeout = READ_TIMEOUT_MILLISECONDS
                getInputStream().read()
            } catch (_: SocketTimeoutException) {
                return
            } catch (failure: IOException) {
                throw StaleConnectionException("the connection broke while idle: ${failure.message}")
            } finally {
                if (!isClosed) soTimeout = timeoutBefore
            }
        throw StaleConnectionException(if (read < 0) "closed while idle" else "bytes that belong to no request")
    }

    // The shortest timeout that sockets know.
    private const val READ_TIMEOUT_MILLISECONDS = 1
}
