/*
 * Handles routed requests: finds the route and client account, has the dispatcher choose a backend server and forwards
 * the server's response. A response that is not a stream is buffered completely before its first byte is sent to the
 * caller, so that a retry can replace one that breaks off; streams are forwarded event by event.
 */
package org.ragwortlever.daemon.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.binding
import com.github.michaelbull.result.getOrElse
import org.http4k.core.Body
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.ragwortlever.core.answer.AnswerEnd
import org.ragwortlever.core.answer.AnswerUse
import org.ragwortlever.core.answer.repetition
import org.ragwortlever.core.answer.use
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
import org.ragwortlever.core.error.answer
import org.ragwortlever.core.intake.RequestRejection
import org.ragwortlever.core.route.CallerLimits
import org.ragwortlever.core.route.RouteKind
import org.ragwortlever.daemon.caller.internalRefusal
import org.ragwortlever.daemon.caller.readBody
import org.ragwortlever.daemon.caller.toRefusal
import org.ragwortlever.daemon.caller.toResponse
import org.ragwortlever.http.CallerWatch
import org.ragwortlever.http.SendCondition
import java.io.IOException
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Handles the requests on the routes of [routes].
 *
 * @param memory what the responses of all requests may hold together.
 * @param isSendable whether a server may still get requests by what this VM has read last.
 * @param stopsAt when this VM cuts the requests that still run; null unless a shutdown was requested.
 */
internal class RoutedRequestHandler(
    private val gateway: DispatchGateway,
    private val servers: ServerClient,
    private val headerNames: RoutedHeaderNames,
    private val routes: RouteTableSource,
    private val stopsAt: () -> Instant?,
    private val observer: RequestObserver,
    private val memory: ResponseMemory,
    isSendable: (BackendServer) -> Boolean = { true },
    private val now: () -> Instant,
) {
    private val nextKey = AtomicLong()
    private val parser = RoutedRequestParser(headerNames)
    private val unavailableServers = UnavailableServers(isSendable)
    private val namedLimits = NamedLimits()

    /** Returns the response of a backend server or a refusal. Blocks until the head of the response is known. */
    fun handle(request: Request): Response {
        val watch = CallerWatch.current
        // The caller's time runs from its first byte on, also while the request waits for a thread.
        val arrival = now() - (watch?.requestAge ?: Duration.ZERO)
        val id = request.header(headerNames.requestId).orEmpty()
        val prepared = prepare(request, arrival).getOrElse { return respondWithRefusal(id, it, "", arrival) }
        val exchange = RoutedExchange(prepared, arrival) { watch?.isDisconnected() == true }
        watch?.onDisconnect(exchange::onCallerGone)
        return exchange.answer()
    }

    /** Returns the refusal of a request that the server has rejected while it was received. Does not block. */
    fun reject(
        request: Request,
        rejection: RequestRejection,
    ): Response = respondWithRefusal(request.header(headerNames.requestId).orEmpty(), rejection.toRefusal(maxBodyBytes), "", now())

    /** Maximum size of a request's body, in bytes, by the configuration in use. */
    val maxBodyBytes: Long get() = (routes.known()?.document?.limits ?: CallerLimits()).bodyBytes

    private fun prepare(
        request: Request,
        arrival: Instant,
    ): Result<PreparedRequest, Refusal> =
        binding {
            val current = routes.await() ?: Err(NO_CONFIGURATION).bind()
            val body = request.readBody(current.document.limits.bodyBytes).bind()
            val prepared = parser.prepare(request, body, current, nextKey.incrementAndGet(), arrival).bind()
            if (mayOutlastShutdown(prepared.request)) Err(STOPPING).bind()
            prepared
        }

    /**
     * Whether the shutdown could cut the response; the request is then refused so that the caller turns to another VM.
     * Only the deadline tells: no estimate holds for a request that takes longer than those before.
     */
    private fun mayOutlastShutdown(request: RoutedRequest): Boolean = stopsAt()?.let { request.deadline > it } ?: false

    private fun respondWithRefusal(
        id: String,
        refusal: Refusal,
        route: String,
        arrival: Instant,
    ): Response {
        val duration = now() - arrival
        RequestLog(id, route).refused(refusal, duration)
        val response = refusal.toResponse(id)
        observer.onResponse(route, response.status.code, duration, duration)
        return response.withConnectionClose()
    }

    /** Makes the caller connect to another VM if this one is shutting down. */
    private fun Response.withConnectionClose(): Response = if (stopsAt() == null) this else header("Connection", "close")

    /** Handles one request, from the first decision to the end of its response. */
    private inner class RoutedExchange(
        private val prepared: PreparedRequest,
        private val arrival: Instant,
        private val isCallerConnectionClosed: () -> Boolean,
    ) {
        private val request = prepared.request
        private val log = RequestLog(request.id, request.route.name)
        private val submitted = gateway.submit(request)

        @Volatile
        private var call: ServerCall? = null

        @Volatile
        private var isCallerGone = false
        private var isStartReported = false

        /** Server of the current attempt. */
        private var server: BackendServer? = null

        /** Cancels the running attempt and wakes the thread that waits for a decision; may be called from any thread. */
        fun onCallerGone() {
            isCallerGone = true
            call?.cancel()
            gateway.release(submitted)
            submitted.addDecision(DispatchEffect.Refuse(request.key, Refusal(ErrorKind.CALLER_GONE, "the caller closed its connection")))
            log.callerGone(now() - arrival)
        }

        /** Runs attempts until one yields a response or the dispatcher refuses the request. */
        fun answer(): Response =
            try {
                runAttempts()
            } catch (failure: RuntimeException) {
                log.failed(failure)
                call?.cancel()
                reportAttemptEnd(AttemptEnd.Failed(ServerFailure.ERROR, canResume = false), "the entry VM failed")
                refuse(internalRefusal(failure))
            }

        private fun runAttempts(): Response {
            while (true) {
                when (val decision = gateway.awaitDecision(submitted)) {
                    is DispatchEffect.Refuse -> return refuse(decision.refusal)
                    is DispatchEffect.Send -> runAttempt(decision)?.let { return it }
                }
            }
        }

        private fun refuse(refusal: Refusal): Response {
            gateway.release(submitted)
            return respondWithRefusal(request.id, refusal, request.route.name, arrival)
        }

        /** Runs one attempt; null if it failed and the dispatcher has been told. */
        private fun runAttempt(send: DispatchEffect.Send): Response? {
            val started = sendAttempt(send, lastEventId = null) ?: return null
            val timeToFirstByte = now() - arrival
            val response = started.response
            val headers = headerNames.filterResponseHeaders(response.headers.map { (name, value) -> name to value })
            val base = Response(Status(response.code, response.message)).headers(headers).withConnectionClose()
            if (request.route.kind == RouteKind.STREAM && response.isEventStream) return streamResponse(base, started, timeToFirstByte)
            val answer =
                try {
                    BufferedAnswer.read(response, memory)
                } catch (failure: IOException) {
                    reportBreak(failure, "reading the response failed: $failure")
                    return null
                }
            if (response.code >= SERVER_ERROR_STATUS && request.route.isRepeatable) return retryServerError(base, answer)
            return finish(base, answer, timeToFirstByte)
        }

        /** Retries after a status of 500 or above; returns this server's response if the dispatcher allows no other attempt. */
        private fun retryServerError(
            base: Response,
            answer: BufferedAnswer,
        ): Response? {
            val status = base.status.code
            reportAttemptEnd(AttemptEnd.Failed(ServerFailure.ERROR), "status $status")
            val decision = gateway.awaitDecision(submitted)
            if (decision is DispatchEffect.Send) {
                answer.close()
                return runAttempt(decision)
            }
            gateway.release(submitted)
            return passOn(base, answer, now() - arrival)
        }

        private fun streamResponse(
            base: Response,
            started: AttemptStart.ResponseStarted,
            timeToFirstByte: Duration,
        ): Response? {
            val stream = RoutedStream(base.status.code, started, timeToFirstByte)
            val events = ForwardedEventStream(started.response.serverEvents(), stream, memory.open())
            // The response head is sent with the first event, so that a server that fails before it can still be replaced.
            try {
                events.prefetch()
            } catch (failure: IOException) {
                events.close()
                reportBreak(failure, "the stream failed before its first event: $failure")
                return null
            }
            return base.body(Body(events, null))
        }

        /** Ends the attempt and the request with the server's [answer]. */
        private fun finish(
            base: Response,
            answer: BufferedAnswer,
            timeToFirstByte: Duration,
        ): Response {
            val status = base.status.code
            val failed = AttemptEnd.Failed(ServerFailure.ERROR, canResume = false)
            val end = if (status >= SERVER_ERROR_STATUS) failed else AttemptEnd.Answered
            gateway.post(DispatchEvent.AttemptEnded(request.key, end))
            gateway.release(submitted)
            return passOn(base, answer, timeToFirstByte)
        }

        /** Returns the response with the server's [answer], unless its status would promise that the request did not run. */
        private fun passOn(
            base: Response,
            answer: BufferedAnswer,
            timeToFirstByte: Duration,
        ): Response {
            val status = base.status.code
            if (status in NOT_RUN_STATUSES) {
                answer.close()
                return refuse(MAY_HAVE_RUN)
            }
            recordResponse(status, timeToFirstByte)
            return base.body(answer.toBody())
        }

        /** Logs the response and records its times. */
        private fun recordResponse(
            status: Int,
            timeToFirstByte: Duration,
        ) {
            val duration = now() - arrival
            log.answered(status, timeToFirstByte, duration)
            observer.onResponse(request.route.name, status, timeToFirstByte, duration)
        }

        /** Sends the attempt and waits for the response's headers; null if it failed and the dispatcher has been told. */
        private fun sendAttempt(
            send: DispatchEffect.Send,
            lastEventId: String?,
        ): AttemptStart.ResponseStarted? {
            server = send.server.server
            if (unavailableServers.isUnavailable(send.server.server, now())) {
                reportAttemptEnd(AttemptEnd.NotRun(ServerFailure.CLOSED), "the server announced that it accepts no new requests")
                return null
            }
            if (send.isExpired(now())) {
                reportAttemptEnd(AttemptEnd.NotRun(ServerFailure.EXPIRED), "the VM was delayed after the decision")
                return null
            }
            val timeLeft = request.deadline - now()
            val timeout = minOf(timeLeft, send.firstByteTimeout ?: timeLeft)
            log.routed(request, send, lastEventId, waited = now() - arrival, timeLeft)
            val headers = AttemptHeaders(request.account, request.tier.takeIf { request.parts.isNotEmpty() }, lastEventId)
            val condition = SendCondition { unavailableServers.maySend(send.server.server, request.deadline, now()) }
            val prepared = servers.prepare(prepared.outgoing, send.server, headers, timeLeft, timeout, condition)
            call = prepared
            if (!isCallerGone && isCallerConnectionClosed()) onCallerGone()
            if (isCallerGone) prepared.cancel()
            val start = servers.start(prepared, request.id)
            start.notice?.let { handleNotice(send.server.server, it) }
            return when (start) {
                is AttemptStart.ResponseStarted -> {
                    if (start.notice?.limit == null && namedLimits.remove(send.server.server)) log.limitEnded(send.server.server)
                    gateway.post(DispatchEvent.FirstByteReceived(request.key))
                    if (!isStartReported) observer.onStarted(request.account)
                    isStartReported = true
                    start
                }
                is AttemptStart.Ended -> {
                    reportAttemptEnd(start.end, start.detail, start.answer)
                    null
                }
            }
        }

        /** Applies [notice] to this VM's traffic threads at once and passes it to the dispatcher. */
        private fun handleNotice(
            server: BackendServer,
            notice: ServerNotice,
        ) {
            unavailableServers.record(server, notice, now())
            val isNewLimit = notice.limit?.let { namedLimits.record(server, it) } ?: false
            if (notice.isLeaving || notice.quietFor != null || isNewLimit) log.notice(server, notice)
            gateway.post(DispatchEvent.ServerNoticeReceived(server.id, server.incarnation, notice))
        }

        /** Ends the attempt, whose answer failed with [failure] before the caller got anything of it. */
        private fun reportBreak(
            failure: IOException,
            detail: String,
        ) {
            call?.cancel()
            val answer = failure.toAnswerEnd()
            val mayRetry = answer.use(request.route.repetition, hasSentEvents = false) == AnswerUse.RETRY
            reportAttemptEnd(AttemptEnd.Failed(failure.toServerFailure(), canResume = mayRetry), detail, answer)
        }

        /** Logs why the attempt ended without a usable response and tells the dispatcher. */
        private fun reportAttemptEnd(
            end: AttemptEnd,
            detail: String,
            answer: AnswerEnd? = null,
        ) {
            log.attemptFailed(server, end, answer, detail, now() - arrival)
            gateway.post(DispatchEvent.AttemptEnded(request.key, end))
        }

        /** A stream whose head has been sent, or is about to be. */
        private inner class RoutedStream(
            private val status: Int,
            private val started: AttemptStart.ResponseStarted,
            private val timeToFirstByte: Duration,
        ) : StreamSource {
            override fun onCompleted(totals: StreamTotals) {
                gateway.post(DispatchEvent.AttemptEnded(request.key, AttemptEnd.Answered))
                gateway.release(submitted)
                log.streamEnded(totals, started.response.framing)
                recordResponse(status, timeToFirstByte)
            }

            override fun onBrokenOff(totals: StreamTotals) {
                gateway.release(submitted)
                log.streamBrokenOff(totals, started.response.framing)
                observer.onResponse(request.route.name, ErrorKind.BACKEND_SERVER_FAILED.answer().status, timeToFirstByte, now() - arrival)
            }

            override fun onAbandoned() {
                call?.cancel()
                gateway.release(submitted)
            }

            override fun resume(
                failure: IOException,
                lastEventId: String?,
            ): ServerEvents? {
                call?.cancel()
                val answer = failure.toAnswerEnd()
                val mayResume = answer.use(request.route.repetition, hasSentEvents = true) == AnswerUse.RESUME
                val end = AttemptEnd.Failed(failure.toServerFailure(), mayResume && !isCallerGone && lastEventId != null)
                reportAttemptEnd(end, "the stream failed after event $lastEventId: $failure", answer)
                while (true) {
                    val decision = gateway.awaitDecision(submitted)
                    if (decision !is DispatchEffect.Send) return null
                    val next = sendAttempt(decision, lastEventId) ?: continue
                    val fault = next.response.findContinuationFault() ?: return next.response.serverEvents()
                    next.response.close()
                    call?.cancel()
                    reportAttemptEnd(AttemptEnd.Failed(ServerFailure.ERROR), fault, AnswerEnd.Malformed)
                }
            }
        }
    }

    private companion object {
        const val SERVER_ERROR_STATUS = 500

        // Callers rely on these statuses to mean that the request did not run, but a server may send them for other reasons.
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
        val STOPPING = Refusal(ErrorKind.STOPPING, "this entry VM shuts down before the response could end; use another", Executed.NO, 0)
        val NO_CONFIGURATION = Refusal(ErrorKind.CONFIGURATION_STALE, "this entry VM has not read a configuration yet", Executed.NO, 1)
        val MAY_HAVE_RUN =
            Refusal(ErrorKind.OUTCOME_UNKNOWN, "the backend server refused the request but may have run it", Executed.UNKNOWN)
    }
}
