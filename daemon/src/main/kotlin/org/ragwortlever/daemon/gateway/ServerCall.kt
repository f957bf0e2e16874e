// HTTP exchange of one attempt with a server. If a pooled connection is found closed before anything was sent, it uses another.
package org.ragwortlever.daemon.gateway

import okhttp3.Call
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.Response
import org.ragwortlever.http.SendTracker
import org.ragwortlever.http.StaleConnectionException
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** One exchange, to be executed once; [cancel] may be called from any thread. */
internal class ServerCall(
    private val client: OkHttpClient,
    private val request: Request,
    private val timeout: Duration,
) {
    @Volatile
    private var call: Call? = null

    @Volatile
    private var canceled = false

    private var tracker = SendTracker()

    /** Whether the request was the first one on its connection; known once [execute] has returned. */
    val isFirstOnConnection: Boolean get() = tracker.isFirstOnConnection

    /**
     * Sends the request and waits for the response's headers.
     *
     * @throws org.ragwortlever.http.NotSentException if no byte of the request was sent.
     * @throws IOException if the exchange failed after a byte may have been sent.
     */
    fun execute(): Response {
        var staleConnections = 0
        while (true) {
            tracker = SendTracker()
            val next = client.newCall(tracker.attachTo(request))
            next.timeout().timeout(timeout.inWholeMilliseconds.coerceAtLeast(1), TimeUnit.MILLISECONDS)
            call = next
            if (canceled) next.cancel()
            try {
                return tracker.track { next.execute() }
            } catch (failure: IOException) {
                if (failure.cause !is StaleConnectionException || ++staleConnections > MAX_STALE_CONNECTIONS) throw failure
            }
        }
    }

    /** Aborts the exchange, also one that has not started yet. */
    fun cancel() {
        canceled = true
        call?.cancel()
    }

    /** Closes the connection of an exchange that has returned what is not its answer, so that no other request uses it. */
    fun closeConnection() = tracker.closeConnection()

    private companion object {
        // The maximum of idle connections to one server; a restarted server has closed all of them.
        const val MAX_STALE_CONNECTIONS = 64
    }
}
