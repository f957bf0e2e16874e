// The refusals that the traffic controller gives.
package org.ragwortlever.core.traffic

import org.ragwortlever.core.admission.Lane
import org.ragwortlever.core.admission.WaitingRequest
import org.ragwortlever.core.error.ErrorKind
import org.ragwortlever.core.error.Executed
import org.ragwortlever.core.error.Refusal
import kotlin.math.ceil

internal fun noServer(
    request: RequestDescription,
    mayHaveRun: Boolean = false,
) = Refusal(
    kind = ErrorKind.NO_BACKEND_SERVER,
    detail = "no backend server in service offers model ${request.model} to class ${request.requestClass}",
    executed = executed(mayHaveRun),
    retryAfterSeconds = NO_SERVER_RETRY_SECONDS,
)

internal fun unknownClass(request: RequestDescription) =
    Refusal(ErrorKind.UNKNOWN_CLASS, "class ${request.requestClass} is not in the configuration in force")

internal fun limitExceeded(
    request: RequestDescription,
    retryAfterSeconds: Int,
) = Refusal(
    kind = ErrorKind.ACCOUNT_LIMIT_EXCEEDED,
    detail = "client account ${request.account} has reached this entry VM's part of its limits",
    retryAfterSeconds = retryAfterSeconds,
)

/** The wait of [lane] would be [waitSeconds], which is over its limit. */
internal fun waitExceeded(
    lane: Lane,
    waitSeconds: Double,
    mayHaveRun: Boolean = false,
) = Refusal(
    kind = ErrorKind.WAIT_EXCEEDED,
    detail = "class ${lane.classId} has an expected wait of ${waitSeconds.rounded()} s and allows ${lane.definition.waitSeconds} s",
    executed = executed(mayHaveRun),
    retryAfterSeconds = ceil(waitSeconds - lane.definition.waitSeconds).coerceIn(1.0, LONGEST_RETRY_SECONDS).toInt(),
)

internal fun capacityLost(
    lane: Lane,
    waiting: WaitingRequest,
    waitSeconds: Double,
): Refusal =
    if (lane.servers.isEmpty()) noServer(waiting.request, waiting.mayHaveRun) else waitExceeded(lane, waitSeconds, waiting.mayHaveRun)

internal fun serverFailed(
    attempt: Attempt,
    reason: String,
) = Refusal(
    kind = ErrorKind.BACKEND_SERVER_FAILED,
    detail = "backend server ${attempt.server.id}: $reason",
    executed = executed(attempt.waiting.mayHaveRun),
    retryAfterSeconds = 1,
)

/** The content of [request] has crashed two servers; it never makes sense to ask again. */
internal fun crashesServers(
    request: RequestDescription,
    mayHaveRun: Boolean,
) = Refusal(
    kind = ErrorKind.REQUEST_CRASHES_SERVERS,
    detail = "content ${request.contentDigest.take(DIGEST_DIGITS)} was running on two backend servers when they failed",
    executed = executed(mayHaveRun),
)

private fun executed(mayHaveRun: Boolean): Executed = if (mayHaveRun) Executed.UNKNOWN else Executed.NO

private fun Double.rounded(): String = if (isFinite()) "%.1f".format(java.util.Locale.ROOT, this) else "unbounded"

// Enough to find the content in the logs.
private const val DIGEST_DIGITS = 12
private const val NO_SERVER_RETRY_SECONDS = 10

// An unbounded wait has no honest figure; a minute is long enough for the load of higher tiers to change.
private const val LONGEST_RETRY_SECONDS = 60.0
