// One attempt's exchange with a server; it takes another connection when an idle one turns out to be dead before the send.
package org.ragwortlever.daemon.gateway

import okhttp3.Call
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.Response
import org.ragwortlever.http.SendMark
import org.ragwortlever.http.StaleConnectionException
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

internal class ServerCall(
    private val client: OkHttpClient,
    private val request: Request,
    private val timeout: Duration,
) {
    @Volatile
    private var call: Call? = null

    @Volatile
    private var canceled = false

    /** Sends the request; throws [org.ragwortlever.http.NotSentException] when no byte was sent, any other [IOException] otherwise. */
    fun execute(): Response {
        var staleConnections = 0
        while (true) {
            val mark = SendMark()
            val next = client.newCall(mark.on(request))
            next.timeout().timeout(timeout.inWholeMilliseconds.coerceAtLeast(1), TimeUnit.MILLISECONDS)
            call = next
            if (canceled) next.cancel()
            try {
                return mark.check { next.execute() }
            } catch (failure: IOException) {
                if (failure.cause !is StaleConnectionException || ++staleConnections > MAX_STALE_CONNECTIONS) throw failure
            }
        }
    }

    fun cancel() {
        canceled = true
        call?.cancel()
    }

    private companion object {
        // As many connections to one server as may be idle at once; a restarted server has closed them all.
        const val MAX_STALE_CONNECTIONS = 64
    }
}
