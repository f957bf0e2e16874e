/*
 * Sends requests to the platform under a lease. The deadline of the call starts first. The check whether the lease is still
 * safe to send on runs on the sending thread after the connection is open, right before the first byte is written.
 */
package org.ragwortlever.daemon.role

import okhttp3.Interceptor
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.ragwortlever.http.UnconnectedSocketFactory
import org.ragwortlever.http.readUpTo
import java.io.IOException
import java.net.ConnectException
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** Outcome of a send with [BoundedSender]. */
sealed interface SendOutcome {
    /** The platform answered with the HTTP status [status]. */
    data class Answered(
        val status: Int,
        val body: String,
    ) : SendOutcome

    /** Nothing was sent: the lease was not safe to send on, or connecting failed with a [ConnectException]. */
    data object NotSent : SendOutcome

    /** No complete answer arrived before the deadline or an I/O error; whether the platform received the request is unknown. */
    data object NoAnswer : SendOutcome
}

/**
 * Sends requests with a hard deadline of [timeout] for the whole call, without retries and redirects.
 *
 * @param isSafeToSend returns whether a send under the given fencing token is safe now.
 */
class BoundedSender(
    client: OkHttpClient,
    timeout: Duration,
    private val isSafeToSend: (fencing: Long) -> Boolean,
) {
    private val calls =
        client
            .newBuilder()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .callTimeout(timeout.toJavaDuration())
            .socketFactory(AbortingSocketFactory)
            .addNetworkInterceptor(::checkSafeToSend)
            .build()

    /** Sends the JSON text [body] as a PUT request to [url], under the same conditions as [send]. */
    fun put(
        url: String,
        body: String,
        fencing: Long,
    ): SendOutcome = send(Request.Builder().url(url).put(body.toRequestBody(JSON_TYPE)).build(), fencing)

    /**
     * Sends [request] if the lease is still safe to send on under the fencing token [fencing]. An [IOException] becomes an
     * outcome and is not thrown.
     */
    fun send(
        request: Request,
        fencing: Long,
    ): SendOutcome {
        val taggedRequest = request.newBuilder().tag(FencingToken::class.java, FencingToken(fencing)).build()
        return try {
            calls.newCall(taggedRequest).execute().use { SendOutcome.Answered(it.code, it.body.readUpTo(MAX_ANSWER_BYTES).readUtf8()) }
        } catch (_: UnsafeToSendException) {
            SendOutcome.NotSent
        } catch (_: ConnectException) {
            SendOutcome.NotSent
        } catch (_: IOException) {
            SendOutcome.NoAnswer
        }
    }

    private fun checkSafeToSend(chain: Interceptor.Chain): Response {
        val token = checkNotNull(chain.request().tag(FencingToken::class.java)) { "request without a fencing token" }
        if (!isSafeToSend(token.value)) throw UnsafeToSendException()
        return chain.proceed(chain.request())
    }

    private data class FencingToken(
        val value: Long,
    )

    private class UnsafeToSendException : IOException("the lease is not safe to send on")

    private companion object {
        val JSON_TYPE = "application/json".toMediaType()
        const val MAX_ANSWER_BYTES = 64L * 1024
    }
}

/** Creates sockets that discard unsent bytes on close, so that the kernel delivers nothing after the deadline. */
private object AbortingSocketFactory : UnconnectedSocketFactory({ setSoLinger(true, 0) })
