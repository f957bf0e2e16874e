// A request of this entry VM that is not answered yet, and the refusals that can end it.
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.backend.ServerFailure
import org.ragwortlever.core.error.ErrorKind
import org.ragwortlever.core.error.Executed
import org.ragwortlever.core.error.Refusal
import org.ragwortlever.core.route.RouteKind
import org.ragwortlever.core.route.ServiceDefinition
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** A question to the decider that is not answered yet. */
internal class OpenQuestion(
    val number: Long,
    val decider: String,
    val askedAt: Instant,
)

/** A request that is not answered yet. */
internal class OpenRequest(
    val request: RoutedRequest,
    val submittedAt: Instant,
) {
    var running: RunningAttempt? = null
    var openQuestion: OpenQuestion? = null
    var sendCount = 0

    /** Servers on which an attempt may have run. */
    val failedServers = HashSet<String>()

    val mayHaveRun: Boolean get() = failedServers.isNotEmpty()

    /** Servers that did not run the request. */
    val rejectingServers = HashSet<String>()

    /**
     * Builds the question to the decider for a server of [service].
     *
     * @param zone availability zone of this VM.
     * @param avoided servers that this VM would not choose now.
     * @param cold cold servers to which this VM may send one request now.
     */
    fun toQuestion(
        service: ServiceDefinition,
        number: Long,
        report: PoolReport,
        zone: String,
        avoided: Set<String>,
        cold: Set<String>,
        now: Instant,
    ) = PoolQuestion(
        report = report,
        number = number,
        requestId = request.id,
        parts = request.parts,
        outputTokens = request.outputTokens,
        zone = zone,
        engineTokens = service.engine?.cacheTokens ?: 0,
        excluded = failedServers + rejectingServers + avoided,
        cold = cold,
        tier = request.tier,
        targetMilliseconds = (submittedAt + request.route.latencyTarget - now).inWholeMilliseconds,
        leftMilliseconds = (request.deadline - now).inWholeMilliseconds,
        hasBegun = mayHaveRun,
    )

    /**
     * Limits the wait for the first byte of an idempotent request, so that time is left for its remaining attempts.
     */
    fun firstByteTimeout(now: Instant): Duration? {
        val attemptsLeft = request.route.maximumAttempts - failedServers.size
        if (request.route.kind != RouteKind.IDEMPOTENT || attemptsLeft < 2) return null
        return (request.deadline - now) / attemptsLeft
    }

    /**
     * Builds the refusal of a request whose caller has too little time left. A request that may have run is reported as
     * such.
     */
    fun waitExceededRefusal(answer: PoolAnswer.Refused? = null): Refusal {
        if (mayHaveRun) return serverFailedRefusal(ServerFailure.UNREACHABLE)
        val seconds = answer?.retryAfterMilliseconds?.milliseconds?.wholeSeconds()
        return Refusal(
            ErrorKind.WAIT_EXCEEDED,
            "the request's deadline passes before a backend server could answer it",
            retryAfterSeconds = seconds,
        )
    }
}

/** Refuses a request for its content; [openRequest] is null for one that was never sent. */
internal fun quarantinedRefusal(openRequest: OpenRequest? = null): Refusal =
    if (openRequest?.mayHaveRun == true) {
        serverFailedRefusal(ServerFailure.BROKEN)
    } else {
        Refusal(ErrorKind.REQUEST_QUARANTINED, "requests with the same content, or with a part of it, crashed backend servers")
    }

internal fun serverFailedRefusal(failure: ServerFailure): Refusal {
    val kind = if (failure == ServerFailure.SILENT) ErrorKind.BACKEND_SERVER_SILENT else ErrorKind.BACKEND_SERVER_FAILED
    return Refusal(kind, "a backend server that may have run the request failed: $failure", Executed.UNKNOWN)
}

/** @param retryAfter time until a server takes requests again; null when unknown. */
internal fun noServerRefusal(
    detail: String,
    retryAfter: Duration? = null,
) = Refusal(ErrorKind.NO_BACKEND_SERVER, detail, Executed.NO, retryAfter?.wholeSeconds() ?: RETRY_AFTER_SECONDS)

/** Rounds up, since callers get whole seconds. */
private fun Duration.wholeSeconds(): Int = ceil(toDouble(DurationUnit.SECONDS)).toInt()

// Failed servers are retried after about this time.
private const val RETRY_AFTER_SECONDS = 1
