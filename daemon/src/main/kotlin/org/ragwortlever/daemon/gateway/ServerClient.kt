/*
 * Sends attempts of routed requests to backend servers and verifies that each response is that server's response to this
 * attempt. Servers repeat the request's id; on a reused connection a late response may belong to an earlier request. All
 * attempts of a request have the same id, so each one uses a connection of its own.
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
import okio.ByteString
import org.http4k.core.Headers
import org.ragwortlever.core.answer.AnswerEnd
import org.ragwortlever.core.backend.KnownServer
import org.ragwortlever.core.backend.ServerFailure
import org.ragwortlever.core.backend.ServerNotice
import org.ragwortlever.core.backend.parseRequestLimit
import org.ragwortlever.core.backend.parseRetryAfter
import org.ragwortlever.core.dispatch.AttemptEnd
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.http.AnswerTooLongException
import org.ragwortlever.http.KeepAliveSocketFactory
import org.ragwortlever.http.MalformedResponseException
import org.ragwortlever.http.NotSentException
import org.ragwortlever.http.RepeatedSendCheck
import org.ragwortlever.http.SendCondition
import org.ragwortlever.http.SendConditionCheck
import org.ragwortlever.http.SendConditionException
import org.ragwortlever.http.StaleConnectionCheck
import org.ragwortlever.http.UnconnectedSocketFactory
import org.ragwortlever.http.UsedConnections
import org.ragwortlever.http.plainHttpClient
import org.ragwortlever.http.trackSends
import java.io.IOException
import java.io.InterruptedIOException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** The part of a forwarded request that is the same for all attempts. */
internal class OutgoingRequest(
    val requestId: String,
    val method: String,
    val pathAndQuery: String,
    val headers: Headers,
    val body: ByteString,
) {
    /** The connections that the attempts so far were sent on. */
    val usedConnections = UsedConnections()
}

/**
 * Result of an attempt up to the headers of its response.
 *
 * @property notice the server's notice on its availability; null if there was no response or no notice in it.
 */
internal sealed interface AttemptStart {
    val notice: ServerNotice?

    /** The server's response to this request; its body is open and must be closed. */
    class ResponseStarted(
        val response: Response,
        override val notice: ServerNotice?,
    ) : AttemptStart

    /** The attempt ended without a usable response; [detail] gives the reason. [answer] is null if nothing was sent. */
    class Ended(
        val end: AttemptEnd,
        val answer: AnswerEnd?,
        val detail: String,
        override val notice: ServerNotice? = null,
    ) : AttemptStart
}

/** Values of headers that may differ between attempts; null leaves a header out. */
internal data class AttemptHeaders(
    val account: String?,
    val priority: Int?,
    val lastEventId: String?,
)

/** HTTP client for backend servers, on sockets of [sockets]. Thread-safe; [start] blocks. */
internal class ServerClient(
    private val headerNames: RoutedHeaderNames,
    sockets: UnconnectedSocketFactory = KeepAliveSocketFactory,
) : AutoCloseable {
    private val client: OkHttpClient =
        plainHttpClient()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .socketFactory(sockets)
            .connectTimeout(CONNECT_TIMEOUT.toJavaDuration())
            .readTimeout(Duration.ZERO.toJavaDuration())
            .connectionPool(ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS))
            .dispatcher(Dispatcher().apply { maxRequestsPerHost = maxRequests })
            .addNetworkInterceptor(StaleConnectionCheck)
            .addNetworkInterceptor(RepeatedSendCheck)
            .addNetworkInterceptor(SendConditionCheck)
            .addNetworkInterceptor(::removeImmediateRetryAfter)
            .trackSends()
            .build()

    /**
     * Builds the exchange of [request] with [server], to be started by [start].
     *
     * @param condition checked before the first byte is sent; null for none.
     */
    fun prepare(
        request: OutgoingRequest,
        server: KnownServer,
        attempt: AttemptHeaders,
        timeLeft: Duration,
        timeout: Duration,
        condition: SendCondition? = null,
    ): ServerCall {
        val builder = Request.Builder().url("http://${server.server.address}${request.pathAndQuery}")
        headerNames.filterRequestHeaders(request.headers).forEach { (name, value) ->
            if (attempt.lastEventId == null || !name.equals(headerNames.lastEventId, ignoreCase = true)) {
                builder.addHeader(name, value.orEmpty())
            }
        }
        // Without this header OkHttp would request a compressed response.
        if (request.headers.none { it.first.equals("Accept-Encoding", ignoreCase = true) }) builder.header("Accept-Encoding", "identity")
        builder.header(headerNames.deadlineMilliseconds, timeLeft.inWholeMilliseconds.coerceAtLeast(1).toString())
        builder.header(headerNames.expectedServer, server.server.id)
        attempt.account?.let { builder.header(headerNames.account, it) }
        attempt.priority?.let { builder.header(headerNames.priority, it.toString()) }
        attempt.lastEventId?.let { builder.header(headerNames.lastEventId, it) }
        request.usedConnections.attachTo(builder)
        condition?.attachTo(builder)
        return ServerCall(client, builder.method(request.method, request.okHttpBody()).build(), timeout)
    }

    /** Sends [attempt] and waits for the headers of its response. */
    fun start(
        attempt: ServerCall,
        requestId: String,
    ): AttemptStart {
        val response =
            try {
                attempt.execute()
            } catch (failure: NotSentException) {
                val kind = if (failure.cause is SendConditionException) ServerFailure.EXPIRED else ServerFailure.UNREACHABLE
                return AttemptStart.Ended(AttemptEnd.NotRun(kind), null, failure.message.orEmpty())
            } catch (failure: IOException) {
                return AttemptStart.Ended(AttemptEnd.Failed(failure.toServerFailure()), failure.toAnswerEnd(), failure.toString())
            }
        val rejected = checkResponse(response, requestId, attempt.isFirstOnConnection)
        if (rejected == null) return AttemptStart.ResponseStarted(response, readNotice(response))
        attempt.cancel()
        response.close()
        if (rejected.end is AttemptEnd.Failed) attempt.closeConnection()
        return rejected
    }

    override fun close() {
        client.connectionPool.evictAll()
    }

    /**
     * Returns why [response] must not be forwarded; null if it is valid.
     *
     * A refusal counts only if it is this attempt's, which the request's id and [RepeatedSendCheck] show together. A server
     * repeats the id unless it rejects a request unread, so an answer without an id counts only if no earlier request on
     * the connection can have caused it.
     */
    private fun checkResponse(
        response: Response,
        requestId: String,
        isFirstOnConnection: Boolean,
    ): AttemptStart.Ended? {
        val answers = response.header(headerNames.requestId)
        val isMisdirected = response.code == MISDIRECTED_STATUS
        return when {
            answers != null && answers != requestId -> foreignResponse("the response belongs to request $answers")
            answers == null && !isFirstOnConnection -> foreignResponse("the response has no request id, on a reused connection")
            isMisdirected -> refusal(ServerFailure.REPLACED, "another server uses the address", notice = null)
            response.header(headerNames.notRun) != null -> refusal(ServerFailure.BUSY, "status ${response.code}", readNotice(response))
            response.header("Content-Encoding") != null -> malformedResponse("the response has a Content-Encoding", response)
            !response.isSuccessful -> null
            response.header(headerNames.signature) == null -> malformedResponse("the response is not signed", response)
            answers == null -> foreignResponse("the response has no request id")
            else -> null
        }
    }

    private fun refusal(
        failure: ServerFailure,
        detail: String,
        notice: ServerNotice?,
    ) = AttemptStart.Ended(AttemptEnd.NotRun(failure), AnswerEnd.Refused, detail, notice)

    private fun foreignResponse(detail: String) =
        AttemptStart.Ended(AttemptEnd.Failed(ServerFailure.ERROR), AnswerEnd.Foreign, detail)

    /** The server's own response, unusable as an answer; that the server shuts down holds nevertheless. */
    private fun malformedResponse(
        detail: String,
        response: Response,
    ) = AttemptStart.Ended(
        AttemptEnd.Failed(ServerFailure.ERROR),
        AnswerEnd.Malformed,
        detail,
        ServerNotice(isLeaving = true).takeIf { isLeaving(response) },
    )

    private fun isLeaving(response: Response): Boolean = response.header(headerNames.leaving)?.trim() == "1"

    private fun readNotice(response: Response): ServerNotice? {
        val retryAfter = response.header("Retry-After").takeIf { response.code == UNAVAILABLE_STATUS }
        val quietFor = retryAfter?.let(::parseRetryAfter)
        if (retryAfter != null &&
            quietFor == null
        ) {
            logger.warn { eventLine("retry-after-unreadable", "value" to retryAfter.take(MAX_LOGGED_CHARACTERS)) }
        }
        val limit = response.header(headerNames.requestLimit)?.let(::parseRequestLimit)
        return ServerNotice(isLeaving(response), quietFor?.takeIf { it > Duration.ZERO }, limit).takeIf { it != ServerNotice() }
    }

    /** Removes `Retry-After: 0` from a 503. OkHttp would retry by itself, but retries are the dispatcher's decision. */
    private fun removeImmediateRetryAfter(chain: Interceptor.Chain): Response {
        val response = chain.proceed(chain.request())
        val isImmediate = response.header("Retry-After")?.trim()?.toIntOrNull() == 0
        return if (response.code == UNAVAILABLE_STATUS && isImmediate) {
            response.newBuilder().removeHeader("Retry-After").build()
        } else {
            response
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val MAX_LOGGED_CHARACTERS = 40

        // Backend servers are about a millisecond away; a slower connect means that the server is dead or overloaded.
        val CONNECT_TIMEOUT = 500.milliseconds

        // Opening connections is charged for. Servers close idle ones on their side; OkHttp detects that before reuse.
        val IDLE_TIMEOUT = 20.seconds
        const val MAX_IDLE_CONNECTIONS = 64
        const val MISDIRECTED_STATUS = 421
        const val UNAVAILABLE_STATUS = 503
    }
}

private fun OutgoingRequest.okHttpBody() = if (method == "GET" || method == "HEAD") null else body.toRequestBody()

/** Maps a timeout to [ServerFailure.SILENT] and any other I/O error to [ServerFailure.BROKEN]. */
internal fun IOException.toServerFailure() = if (this is InterruptedIOException) ServerFailure.SILENT else ServerFailure.BROKEN

/** How an answer ended whose reading has failed with this error. */
internal fun IOException.toAnswerEnd(): AnswerEnd =
    when (this) {
        is AnswerTooLongException -> AnswerEnd.TooLong
        is MalformedResponseException, is EventOrderException -> AnswerEnd.Malformed
        else -> AnswerEnd.BrokenOff
    }
