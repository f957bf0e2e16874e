// Tells whether a byte of an OkHttp request may have left, which an exception alone does not.
package org.ragwortlever.http

import okhttp3.Call
import okhttp3.EventListener
import okhttp3.OkHttpClient
import okhttp3.Request
import java.io.IOException

/** No byte of the request was sent. */
class NotSentException(
    cause: IOException,
) : IOException(cause.message ?: cause.javaClass.simpleName, cause)

/** Notes the start of sending for one request; works on clients built with [trackSends]. */
class SendTracker {
    /** Whether a byte of the request may have left. */
    @Volatile
    var mayHaveBeenSent: Boolean = false
        private set

    /** [request] with this mark attached. */
    fun attachTo(request: Request): Request = request.newBuilder().tag(SendTracker::class.java, this).build()

    /** Runs [exchange]; its failure before the first byte becomes a [NotSentException]. */
    fun <T> track(exchange: () -> T): T =
        try {
            exchange()
        } catch (failure: IOException) {
            if (mayHaveBeenSent) throw failure
            throw NotSentException(failure)
        }

    internal fun recordSendStart() {
        mayHaveBeenSent = true
    }
}

/** Makes the client note the start of sending in the [SendTracker] of each request that has one. */
fun OkHttpClient.Builder.trackSends(): OkHttpClient.Builder = eventListenerFactory { call -> SendListener(call) }

private class SendListener(
    call: Call,
) : EventListener() {
    private val tracker = call.request().tag(SendTracker::class.java)

    override fun requestHeadersStart(call: Call) {
        tracker?.recordSendStart()
    }
}
