// A request of this entry VM that is not answered yet, and the refusals that it can end with.
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

/** A question to the deciding VM whose answer has not come. */
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
     * The question for a server of [service].
     *
     * @param zone availability zone of this VM.
     * @param avoided servers that this VM would not choose now.
     * @param cold cold servers that this VM may send one request now.
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

    /** A safe request that hears nothing is tried elsewhere while there is time for it. */
    fun firstByteTimeout(now: Instant): Duration? {
        val attemptsLeft = request.route.maximumAttempts - failedServers.size
        if (request.route.kind != RouteKind.IDEMPOTENT || attemptsLeft < 2) return null
        return (request.deadline - now) / attemptsLeft
    }

    /** The caller's time is too short for an answer; says what is true of a request that may have run. */
    fun waitExceededRefusal(answer: PoolAnswer.Refused? = null): Refusal {
        if (mayHaveRun) return serverFailedRefusal(ServerFailure.UNREACHABLE)
        val seconds = answer?.retryAfterMilliseconds?.milliseconds?.wholeSeconds()
        return Refusal(ErrorKind.WAIT_EXCEEDED, "the caller's wait ends before a server could answer", retryAfterSeconds = seconds)
    }
}

internal fun serverFailedRefusal(failure: ServerFailure): Refusal {
    val kind = if (failure == ServerFailure.SILENT) ErrorKind.BACKEND_SERVER_SILENT else ErrorKind.BACKEND_SERVER_FAILED
    return Refusal(kind, "the backend server's failure: $failure", Executed.UNKNOWN)
}

/** @param retryAfter when a server takes requests again, if that is known. */
internal fun noServerRefusal(
    detail: String,
    retryAfter: Duration? = null,
) = Refusal(ErrorKind.NO_BACKEND_SERVER, detail, Executed.NO, retryAfter?.wholeSeconds() ?: RETRY_AFTER_SECONDS)

/** Callers get whole seconds. */
private fun Duration.wholeSeconds(): Int = ceil(toDouble(DurationUnit.SECONDS)).toInt()

// Failed servers are tried again after about this time.
private const val RETRY_AFTER_SECONDS = 1
