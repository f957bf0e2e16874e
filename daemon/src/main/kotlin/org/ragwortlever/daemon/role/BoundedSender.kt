/*
 * Sends to the platform under a lease. The deadline of the call is armed first; the safe-to-send check runs on the
 * sending thread after the connection is open, right before the first byte is written.
 */
package org.ragwortlever.daemon.role

import okhttp3.Interceptor
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.ragwortlever.http.UnconnectedSocketFactory
import java.io.IOException
import java.net.ConnectException
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** Outcome of a bounded send. */
sealed interface SendOutcome {
    data class Answered(
        val status: Int,
        val body: String,
    ) : SendOutcome

    data object NotSent : SendOutcome

    data object NoAnswer : SendOutcome
}

/**
 * Sends with a hard deadline of [timeout].
 *
 * @param isSafeToSend the safe-to-send check for the fencing number of the send.
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

    fun put(
        url: String,
        body: String,
        fencing: Long,
    ): SendOutcome = send(Request.Builder().url(url).put(body.toRequestBody(JSON_TYPE)).build(), fencing)

    /** Sends [request] if the lease is still safe to send on under the number [fencing]. */
    fun send(
        request: Request,
        fencing: Long,
    ): SendOutcome {
        val taggedRequest = request.newBuilder().tag(FencingToken::class.java, FencingToken(fencing)).build()
        return try {
            calls.newCall(taggedRequest).execute().use { SendOutcome.Answered(it.code, it.body.string()) }
        } catch (_: UnsafeToSendException) {
            SendOutcome.NotSent
        } catch (_: ConnectException) {
            SendOutcome.NotSent
        } catch (_: IOException) {
            SendOutcome.NoAnswer
        }
    }

    private fun checkSafeToSend(chain: Interceptor.Chain): Response {
        val token = checkNotNull(chain.request().tag(FencingToken::class.java)) { "a send without a fencing number" }
        if (!isSafeToSend(token.value)) throw UnsafeToSendException()
        return chain.proceed(chain.request())
    }

    private data class FencingToken(
        val value: Long,
    )

    private class UnsafeToSendException : IOException("the lease is not safe to send on")

    private companion object {
        val JSON_TYPE = "application/json".toMediaType()
    }
}

/** Sockets that drop unsent bytes on close, so that the kernel delivers nothing after the deadline. */
private object AbortingSocketFactory : UnconnectedSocketFactory({ setSoLinger(true, 0) })
