/*
 * Sends one attempt of a routed request to one backend server and checks that what comes back is that server's answer
 * to this request: servers repeat the request's id, and an answer that came late belongs to an earlier request.
 */
package org.ragwortlever.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.Interceptor
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.http4k.core.Headers
import org.ragwortlever.core.backend.KnownServer
import org.ragwortlever.core.backend.ServerFailure
import org.ragwortlever.core.backend.ServerNotice
import org.ragwortlever.core.backend.parseRetryAfter
import org.ragwortlever.core.dispatch.AttemptEnd
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.http.KeepAliveSocketFactory
import org.ragwortlever.http.NotSentException
import org.ragwortlever.http.StaleConnectionCheck
import org.ragwortlever.http.markingSends
import org.ragwortlever.http.plainHttpClient
import java.io.IOException
import java.io.InterruptedIOException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** A routed request as it goes to a server, apart from what each attempt sets. */
internal class OutgoingRequest(
    val requestId: String,
    val method: String,
    val pathAndQuery: String,
    val headers: Headers,
    val body: ByteArray?,
)

/**
 * What became of an attempt up to the headers of its answer.
 *
 * @property notice what the server said of itself; null when nothing came from it or it said nothing.
 */
internal sealed interface AttemptStart {
    val notice: ServerNotice?

    /** The server's own answer to this request; its body is open. */
    class ResponseStarted(
        val response: Response,
        override val notice: ServerNotice?,
    ) : AttemptStart

    class Ended(
        val end: AttemptEnd,
        val detail: String,
        override val notice: ServerNotice? = null,
    ) : AttemptStart
}

/** Headers that differ from attempt to attempt. */
internal data class AttemptHeaders(
    val account: String?,
    val priority: Int?,
    val lastEventId: String?,
)

/** Sends attempts; calls block. */
internal class ServerClient(
    private val headerNames: RoutedHeaderNames,
) : AutoCloseable {
    private val client: OkHttpClient =
        plainHttpClient()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .socketFactory(KeepAliveSocketFactory)
            .connectTimeout(CONNECT_TIMEOUT.toJavaDuration())
            .readTimeout(Duration.ZERO.toJavaDuration())
            .connectionPool(ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS))
            .dispatcher(Dispatcher().apply { maxRequestsPerHost = maxRequests })
            .addNetworkInterceptor(StaleConnectionCheck)
            .addNetworkInterceptor(::removeImmediateRetryAfter)
            .markingSends()
            .build()

    /** Prepares the attempt; [ServerCall.cancel] on the result may be called from any thread. */
    fun prepare(
        request: OutgoingRequest,
        server: KnownServer,
        attempt: AttemptHeaders,
        timeLeft: Duration,
        timeout: Duration,
    ): ServerCall {
        val builder = Request.Builder().url("http://${server.server.address}${request.pathAndQuery}")
        headerNames.filterRequestHeaders(request.headers).forEach { (name, value) ->
            if (attempt.lastEventId == null || !name.equals(headerNames.lastEventId, ignoreCase = true)) builder.addHeader(name, value.orEmpty())
        }
        // Without an encoding of its own the library asks for a compressed answer.
        if (request.headers.none { it.first.equals("Accept-Encoding", ignoreCase = true) }) builder.header("Accept-Encoding", "identity")
        builder.header(headerNames.deadlineMilliseconds, timeLeft.inWholeMilliseconds.coerceAtLeast(1).toString())
        builder.header(headerNames.expectedServer, server.server.id)
        attempt.account?.let { builder.header(headerNames.account, it) }
        attempt.priority?.let { builder.header(headerNames.priority, it.toString()) }
        attempt.lastEventId?.let { builder.header(headerNames.lastEventId, it) }
        return ServerCall(client, builder.method(request.method, request.okHttpBody()).build(), timeout)
    }

    /** Sends [attempt] and waits for the headers of its answer. */
    fun start(
        attempt: ServerCall,
        requestId: String,
    ): AttemptStart {
        val response =
            try {
                attempt.execute()
            } catch (failure: NotSentException) {
                return AttemptStart.Ended(AttemptEnd.NotRun(ServerFailure.UNREACHABLE), failure.message.orEmpty())
            } catch (failure: IOException) {
                return AttemptStart.Ended(AttemptEnd.Failed(failure.toServerFailure()), failure.toString())
            }
        val notice = readNotice(response)
        val invalid = checkResponse(response, requestId) ?: return AttemptStart.ResponseStarted(response, notice)
        response.close()
        attempt.cancel()
        return AttemptStart.Ended(invalid.end, invalid.detail, notice)
    }

    override fun close() {
        client.connectionPool.evictAll()
    }

    /** Why [response] is no answer to hand on; null if it is one. */
    private fun checkResponse(
        response: Response,
        requestId: String,
    ): AttemptStart.Ended? {
        if (response.code == MISDIRECTED_STATUS) return AttemptStart.Ended(AttemptEnd.NotRun(ServerFailure.REPLACED), "another server")
        if (response.header(headerNames.notRun) !=
            null
        ) {
            return AttemptStart.Ended(AttemptEnd.NotRun(ServerFailure.BUSY), "status ${response.code}")
        }
        val answers = response.header(headerNames.requestId)
        if (answers != null && answers != requestId) return invalidResponse("the answer belongs to request $answers")
        if (response.header("Content-Encoding") != null) return invalidResponse("the answer is encoded")
        if (response.isSuccessful && response.header(headerNames.signature) == null) return invalidResponse("the answer is not signed")
        if (response.isSuccessful && answers == null) return invalidResponse("the answer names no request")
        return null
    }

    private fun readNotice(response: Response): ServerNotice? {
        val isLeaving = response.header(headerNames.leaving)?.trim() == "1"
        val retryAfter = response.header("Retry-After").takeIf { response.code == UNAVAILABLE_STATUS }
        val quietFor = retryAfter?.let(::parseRetryAfter)
        if (retryAfter != null &&
            quietFor == null
        ) {
            logger.warn { eventLine("retry-after-unreadable", "value" to retryAfter.take(MAX_LOGGED_CHARACTERS)) }
        }
        return ServerNotice(isLeaving, quietFor?.takeIf { it > Duration.ZERO }).takeIf { it != ServerNotice() }
    }

    private fun invalidResponse(detail: String) = AttemptStart.Ended(AttemptEnd.Failed(ServerFailure.ERROR), detail)

    /** The library repeats a 503 that says "retry after 0" by itself; whether to repeat is decided elsewhere. */
    private fun removeImmediateRetryAfter(chain: Interceptor.Chain): Response {
        val response = chain.proceed(chain.request())
        val isImmediate = response.header("Retry-After")?.trim()?.toIntOrNull() == 0
        return if (response.code == UNAVAILABLE_STATUS && isImmediate) response.newBuilder().removeHeader("Retry-After").build() else response
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val MAX_LOGGED_CHARACTERS = 40

        // Backend servers are a millisecond away; a connection that takes longer meets a dead or choked server.
        val CONNECT_TIMEOUT = 500.milliseconds

        // New connections are priced. Servers close idle ones themselves, which the library sees before it uses one again.
        val IDLE_TIMEOUT = 20.seconds
        const val MAX_IDLE_CONNECTIONS = 64
        const val MISDIRECTED_STATUS = 421
        const val UNAVAILABLE_STATUS = 503
    }
}

private fun OutgoingRequest.okHttpBody() = if (method == "GET" || method == "HEAD") null else (body ?: ByteArray(0)).toRequestBody()

/** A timeout of the call is silence; everything else is a broken exchange. */
internal fun IOException.toServerFailure(): ServerFailure = if (this is InterruptedIOException) ServerFailure.SILENT else ServerFailure.BROKEN
