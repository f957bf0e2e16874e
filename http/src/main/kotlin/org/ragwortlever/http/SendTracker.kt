// Tracks what an OkHttp call does not tell: whether any byte may have been sent, and whether on a new connection.
package org.ragwortlever.http

import okhttp3.Call
import okhttp3.Connection
import okhttp3.EventListener
import okhttp3.OkHttpClient
import okhttp3.Request
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Proxy

/** An exchange failed before any byte of its request was sent, so the server has not seen the request. */
class NotSentException(
    cause: IOException,
) : IOException(cause.message ?: cause.javaClass.simpleName, cause)

/** Records on what connection and when the sending of one request starts. Works only with clients that were built with [trackSends]. */
class SendTracker {
    /** Whether any byte of the request may have been sent. */
    @Volatile
    var mayHaveBeenSent: Boolean = false
        private set

    /** Whether the request was the first one on its connection, so that an answer on it can't belong to an earlier request. */
    @Volatile
    var isFirstOnConnection: Boolean = false
        private set

    @Volatile
    private var connection: Connection? = null

    /**
     * Closes the connection that the request was sent on, also if the exchange has ended and another request may use it.
     * For connections whose next bytes can't be trusted.
     */
    fun closeConnection() {
        connection?.socket()?.close()
    }

    /** Returns a copy of [request] with this tracker attached. */
    fun attachTo(request: Request): Request = request.newBuilder().tag(SendTracker::class.java, this).build()

    /**
     * Runs [exchange].
     *
     * @throws NotSentException if it failed with an [IOException] before any byte of the request was sent.
     * @throws IOException the original one, if it failed after that.
     */
    fun <T> track(exchange: () -> T): T =
        try {
            exchange()
        } catch (failure: IOException) {
            if (mayHaveBeenSent) throw failure
            throw NotSentException(failure)
        }

    internal fun recordConnection(acquired: Connection) {
        connection = acquired
    }

    internal fun recordConnect() {
        isFirstOnConnection = true
    }

    internal fun recordSendStart() {
        mayHaveBeenSent = true
    }
}

/** Makes the client report the start of sending to the [SendTracker] that is attached to a request, if there is one. */
fun OkHttpClient.Builder.trackSends(): OkHttpClient.Builder = eventListenerFactory { call -> SendListener(call) }

private class SendListener(
    call: Call,
) : EventListener() {
    private val tracker = call.request().tag(SendTracker::class.java)

    override fun connectStart(
        call: Call,
        inetSocketAddress: InetSocketAddress,
        proxy: Proxy,
    ) {
        tracker?.recordConnect()
    }

    override fun connectionAcquired(
        call: Call,
        connection: Connection,
    ) {
        tracker?.recordConnection(connection)
    }

    override fun requestHeadersStart(call: Call) {
        tracker?.recordSendStart()
    }
}
