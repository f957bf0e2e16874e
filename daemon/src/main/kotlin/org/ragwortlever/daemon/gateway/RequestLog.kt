// Log lines of one routed request; docs/OPERATIONS.md explains them.
package org.ragwortlever.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import org.ragwortlever.core.answer.AnswerEnd
import org.ragwortlever.core.answer.AnswerFraming
import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.backend.RequestLimit
import org.ragwortlever.core.backend.ServerNotice
import org.ragwortlever.core.dispatch.AttemptEnd
import org.ragwortlever.core.dispatch.DispatchEffect
import org.ragwortlever.core.dispatch.RoutedRequest
import org.ragwortlever.core.error.Refusal
import org.ragwortlever.core.log.eventLine
import kotlin.time.Duration

/**
 * Logs the course of the request [id]. Times are counted from its arrival.
 *
 * @param route name of its route; empty if it was refused before a route was found.
 */
internal class RequestLog(
    private val id: String,
    private val route: String,
) {
    fun refused(
        refusal: Refusal,
        duration: Duration,
    ) = log(
        "refused",
        "route" to route,
        "kind" to refusal.kind.code,
        "executed" to refusal.executed,
        "detail" to refusal.detail,
        "ms" to duration.inWholeMilliseconds,
    )

    /** @param lastEventId event after which the server is asked to continue a stream; null for the whole answer. */
    fun routed(
        request: RoutedRequest,
        send: DispatchEffect.Send,
        lastEventId: String?,
        waited: Duration,
        timeLeft: Duration,
    ) = log(
        "routed",
        "route" to route,
        "account" to request.account,
        "tier" to request.tier,
        "tokens" to request.promptTokens,
        "parts" to request.partIds.joinToString(",").ifEmpty { null },
        "server" to send.server.server.id,
        "attempt" to send.attempt,
        "reason" to send.reason,
        "server-sequence" to send.server.server.sequence,
        "waited-ms" to waited.inWholeMilliseconds,
        "left-ms" to timeLeft.inWholeMilliseconds,
        "after" to lastEventId,
    )

    fun notice(
        server: BackendServer,
        notice: ServerNotice,
    ) = log(
        "server-notice",
        "server" to server.id,
        "incarnation" to server.incarnation,
        "leaving" to notice.isLeaving,
        "quiet-ms" to notice.quietFor?.inWholeMilliseconds,
        "limit-per-second" to notice.limit?.let { if (it is RequestLimit.PerSecond) it.requests else "unreadable" },
    )

    fun limitEnded(server: BackendServer) = log("server-limit-ended", "server" to server.id, "incarnation" to server.incarnation)

    /** @param answer how the server's answer ended; null if there was none. */
    fun attemptFailed(
        server: BackendServer?,
        end: AttemptEnd,
        answer: AnswerEnd?,
        detail: String,
        duration: Duration,
    ) = log(
        "attempt-failed",
        "server" to server?.id,
        "end" to end,
        "answer" to answer?.label,
        "detail" to detail,
        "ms" to duration.inWholeMilliseconds,
    )

    fun answered(
        status: Int,
        timeToFirstByte: Duration,
        duration: Duration,
    ) = log(
        "answered",
        "route" to route,
        "status" to status,
        "first-ms" to timeToFirstByte.inWholeMilliseconds,
        "ms" to duration.inWholeMilliseconds,
    )

    fun streamEnded(
        totals: StreamTotals,
        framing: AnswerFraming,
    ) = logStream("stream-ended", totals, framing)

    fun streamBrokenOff(
        totals: StreamTotals,
        framing: AnswerFraming,
    ) = logStream("stream-broken-off", totals, framing)

    fun callerGone(duration: Duration) = log("caller-gone", "ms" to duration.inWholeMilliseconds)

    /** An unexpected error in the entry VM. */
    fun failed(error: RuntimeException) =
        logger.error(error) { eventLine("request-failed", "request" to id, "error" to error, "at" to error.stackTrace.firstOrNull()) }

    /** @param framing how the first server marked the end of its answer. */
    private fun logStream(
        event: String,
        totals: StreamTotals,
        framing: AnswerFraming,
    ) = log(event, "route" to route, "framing" to framing.label, "bytes" to totals.bytes, "events" to totals.events)

    private fun log(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) = logger.info { eventLine(event, "request" to id, *fields) }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
