/*
 * The path of a routed request: finds its route and client account, has the dispatcher choose a backend server, and
 * passes the server's answer on. An answer of known length is read whole before the first byte goes to the caller, so
 * that a broken one can be replaced; streams are passed on event by event.
 */
package org.ragwortlever.daemon.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.binding
import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import org.http4k.core.Body
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.backend.ServerFailure
import org.ragwortlever.core.backend.ServerNotice
import org.ragwortlever.core.dispatch.AttemptEnd
import org.ragwortlever.core.dispatch.DispatchEffect
import org.ragwortlever.core.dispatch.DispatchEvent
import org.ragwortlever.core.dispatch.RoutedRequest
import org.ragwortlever.core.error.ErrorKind
import org.ragwortlever.core.error.Executed
import org.ragwortlever.core.error.Refusal
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.core.route.AnswerTimes
import org.ragwortlever.core.route.RouteKind
import org.ragwortlever.core.route.RouteTable
import org.ragwortlever.daemon.caller.readBody
import org.ragwortlever.daemon.caller.toResponse
import org.ragwortlever.http.CallerWatch
import java.io.IOException
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** What the gateway reports of requests, for usage and metrics. Called from traffic threads. */
interface RequestObserver {
    /** A backend server has begun to run a request of [account]. */
    fun began(account: String?)

    /** The request on [route] was answered with [status] after [took]; the first byte came after [first]. */
    fun answered(
        route: String,
        status: Int,
        first: Duration,
        took: Duration,
    )
}

/** @param stopsAt when this VM ends what still runs here, once it has been told to stop. */
internal class RoutedCalls(
    private val gateway: DispatchGateway,
    private val servers: ServerClient,
    private val names: RoutedHeaders,
    private val table: () -> RouteTable?,
    private val stopsAt: () -> Instant?,
    private val observer: RequestObserver,
    private val now: () -> Instant,
) {
    private val nextKey = AtomicLong()
    private val parser = RoutedRequestParser(names)
    private val answerTimes = AnswerTimes()
    private val closedDoors = ClosedDoors()

    fun handle(request: Request): Response {
        val arrival = now()
        val id = request.header(names.requestId).orEmpty()
        val prepared = prepare(request, arrival).getOrElse { return refusal(id, it, "", arrival) }
        val watch = CallerWatch.current
        val exchange = RoutedExchange(prepared, arrival) { watch?.isGone() == true }
        watch?.onGone(exchange::callerGone)
        return exchange.answer()
    }

    private fun prepare(
        request: Request,
        arrival: Instant,
    ): Result<PreparedRequest, Refusal> =
        binding {
            val current = table() ?: Err(NO_CONFIGURATION).bind()
            val body = request.readBody(current.document.limits.bodyBytes).bind()
            val prepared = parser.prepare(request, body, current, nextKey.incrementAndGet(), arrival).bind()
            if (cannotFinish(prepared.request)) Err(STOPPING).bind()
            prepared
        }

    /** Whether the end of the process could cut the answer; the caller is better served by another VM. */
    private fun cannotFinish(request: RoutedRequest): Boolean {
        val end = stopsAt() ?: return false
        return minOf(request.deadline, now() + answerTimes.mayTake(request.route)) > end
    }

    private fun refusal(
        id: String,
        refusal: Refusal,
        route: String,
        arrival: Instant,
    ): Response {
        val took = now() - arrival
        logger.info {
            eventLine(
                "refused",
                "request" to id,
                "route" to route,
                "kind" to refusal.kind.code,
                "executed" to refusal.executed,
                "detail" to refusal.detail,
                "ms" to took.inWholeMilliseconds,
            )
        }
        val response = refusal.toResponse(id)
        observer.answered(route, response.status.code, took, took)
        return response.leaving()
    }

    private fun Response.leaving(): Response = if (stopsAt() == null) this else header("Connection", "close")

    /** One request from the first decision to the end of its answer. */
    private inner class RoutedExchange(
        private val prepared: PreparedRequest,
        private val arrival: Instant,
        private val hasCallerLeft: () -> Boolean,
    ) : StreamSource {
        private val request = prepared.request
        private val ticket = gateway.submit(request)

        @Volatile
        private var call: ServerCall? = null

        @Volatile
        private var isCallerGone = false
        private var counted = false

        fun callerGone() {
            isCallerGone = true
            call?.cancel()
            gateway.release(ticket)
            ticket.decided(DispatchEffect.Refuse(request.key, Refusal(ErrorKind.CALLER_GONE, "the caller closed its connection")))
            logger.info { eventLine("caller-gone", "request" to request.id, "ms" to (now() - arrival).inWholeMilliseconds) }
        }

        /** Runs attempts until one answers or the dispatcher gives up. */
        fun answer(): Response {
            while (true) {
                when (val decision = gateway.awaitDecision(ticket)) {
                    is DispatchEffect.Refuse -> return refused(decision.refusal)
                    is DispatchEffect.Send -> attempt(decision)?.let { return it }
                }
            }
        }

        private fun refused(refusal: Refusal): Response {
            gateway.release(ticket)
            return refusal(request.id, refusal, request.route.name, arrival)
        }

        private fun attempt(send: DispatchEffect.Send): Response? {
            val answering = open(send, lastEventId = null) ?: return null
            val first = now() - arrival
            val response = answering.response
            val headers = names.returned(response.headers.map { (name, value) -> name to value })
            val base = Response(Status(response.code, response.message)).headers(headers).leaving()
            if (request.route.kind == RouteKind.STREAM && response.isSuccessful) return stream(base, answering, first)
            val content =
                try {
                    response.body.bytesUpTo(LONGEST_ANSWER_BYTES)
                } catch (failure: IOException) {
                    call?.cancel()
                    ended(AttemptEnd.Failed(failure.kind()), "the answer broke off: $failure")
                    return null
                }
            if (response.code >= SERVER_ERROR && request.route.isRepeatable) return repeatError(base, content)
            return finish(base.body(Body(content.inputStream(), content.size.toLong())), response.code, first)
        }

        /** An error of the server's own; another server may answer, but this one's answer stands if none does. */
        private fun repeatError(
            base: Response,
            content: ByteArray,
        ): Response? {
            val status = base.status.code
            ended(AttemptEnd.Failed(ServerFailure.ERROR), "status $status")
            val decision = gateway.awaitDecision(ticket)
            if (decision is DispatchEffect.Send) return attempt(decision)
            gateway.release(ticket)
            if (status in NOT_RUN_STATUSES) return refused(MAY_HAVE_RUN)
            return finishLogged(base.body(Body(content.inputStream(), content.size.toLong())), status, now() - arrival)
        }

        private fun stream(
            base: Response,
            answering: AttemptStart.Answering,
            first: Duration,
        ): Response? {
            val relay = EventRelay(answering.response.body.source(), request.route, this) { finishLogged(base, base.status.code, first) }
            // The answer's head goes out with its first event, so that a server that breaks before it can be replaced.
            if (!relay.prefetch()) return null
            return base.body(Body(relay, null))
        }

        private fun finish(
            response: Response,
            status: Int,
            first: Duration,
        ): Response {
            val failed = AttemptEnd.Failed(ServerFailure.ERROR, canResume = false)
            val end = if (status >= SERVER_ERROR) failed else AttemptEnd.Answered
            gateway.post(DispatchEvent.AttemptEnded(request.key, end))
            gateway.release(ticket)
            if (status in NOT_RUN_STATUSES) return refused(MAY_HAVE_RUN)
            return finishLogged(response, status, first)
        }

        private fun finishLogged(
            response: Response,
            status: Int,
            first: Duration,
        ): Response {
            val took = now() - arrival
            logger.info {
                eventLine(
                    "answered",
                    "request" to request.id,
                    "route" to request.route.name,
                    "status" to status,
                    "first-ms" to first.inWholeMilliseconds,
                    "ms" to took.inWholeMilliseconds,
                )
            }
            answerTimes.took(request.route.name, took, now())
            observer.answered(request.route.name, status, first, took)
            return response
        }

        /** Sends the attempt; null when it failed and the dispatcher was told. */
        private fun open(
            send: DispatchEffect.Send,
            lastEventId: String?,
        ): AttemptStart.Answering? {
            if (closedDoors.isClosed(send.server.server, now())) {
                ended(AttemptEnd.NotRun(ServerFailure.CLOSED), "the server has said since that it takes nothing new")
                return null
            }
            val timeLeft = request.deadline - now()
            val timeout = minOf(timeLeft, send.firstByteTimeout ?: timeLeft)
            logger.info {
                eventLine(
                    "routed",
                    "request" to request.id,
                    "route" to request.route.name,
                    "account" to request.account,
                    "tier" to request.tier,
                    "tokens" to request.promptTokens,
                    "server" to send.server.server.id,
                    "attempt" to send.attempt,
                    "reason" to send.reason,
                    "server-sequence" to send.server.server.sequence,
                    "waited-ms" to (now() - arrival).inWholeMilliseconds,
                    "left-ms" to timeLeft.inWholeMilliseconds,
                    "after" to lastEventId,
                )
            }
            val headers = AttemptHeaders(request.account, request.tier.takeIf { request.parts.isNotEmpty() }, lastEventId)
            val prepared = servers.prepare(prepared.outgoing, send.server, headers, timeLeft, timeout)
            call = prepared
            if (!isCallerGone && hasCallerLeft()) callerGone()
            if (isCallerGone) prepared.cancel()
            val start = servers.start(prepared, request.id)
            start.notice?.let { noticed(send.server.server, it) }
            return when (start) {
                is AttemptStart.Answering -> {
                    gateway.post(DispatchEvent.FirstByteReceived(request.key))
                    if (!counted) observer.began(request.account)
                    counted = true
                    start
                }
                is AttemptStart.Ended -> {
                    ended(start.end, start.detail)
                    null
                }
            }
        }

        private fun noticed(
            server: BackendServer,
            notice: ServerNotice,
        ) {
            closedDoors.noticed(server, notice, now())
            logger.info {
                eventLine(
                    "server-notice",
                    "request" to request.id,
                    "server" to server.id,
                    "incarnation" to server.incarnation,
                    "leaving" to notice.isLeaving,
                    "quiet-ms" to notice.quietFor?.inWholeMilliseconds,
                )
            }
            gateway.post(DispatchEvent.ServerNoticeReceived(server.id, server.incarnation, notice))
        }

        private fun ended(
            end: AttemptEnd,
            detail: String,
        ) {
            logger.info {
                eventLine(
                    "attempt-failed",
                    "request" to request.id,
                    "end" to end,
                    "detail" to detail,
                    "ms" to (now() - arrival).inWholeMilliseconds,
                )
            }
            gateway.post(DispatchEvent.AttemptEnded(request.key, end))
        }

        override fun completed() {
            gateway.post(DispatchEvent.AttemptEnded(request.key, AttemptEnd.Answered))
            gateway.release(ticket)
        }

        override fun abandoned() {
            call?.cancel()
            gateway.release(ticket)
        }

        override fun resume(
            failure: IOException,
            lastEventId: String?,
            hasSentHead: Boolean,
        ): okio.BufferedSource? {
            call?.cancel()
            val canResume = request.route.isResumable && !isCallerGone && (lastEventId != null || !hasSentHead)
            ended(AttemptEnd.Failed(failure.kind(), canResume), "the stream broke off after event $lastEventId: $failure")
            while (true) {
                val decision = gateway.awaitDecision(ticket)
                if (decision !is DispatchEffect.Send) {
                    ticket.decided(decision)
                    return null
                }
                val answering = open(decision, lastEventId) ?: continue
                if (answering.response.isSuccessful) return answering.response.body.source()
                answering.response.close()
                ended(AttemptEnd.Failed(ServerFailure.ERROR), "status ${answering.response.code}")
            }
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val SERVER_ERROR = 500

        // To callers these statuses promise that the request has not run; a server's own may mean something else.
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
        val STOPPING = Refusal(ErrorKind.STOPPING, "this entry VM stops before the answer could end", Executed.NO, 0)
        val NO_CONFIGURATION = Refusal(ErrorKind.CONFIGURATION_STALE, "no configuration has been read yet", Executed.NO, 1)
        val MAY_HAVE_RUN =
            Refusal(ErrorKind.OUTCOME_UNKNOWN, "the backend server refused it without saying that it did not run", Executed.UNKNOWN)
    }
}
