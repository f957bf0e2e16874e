// Notices that a backend server attaches to a response, whatever its status.
package org.ragwortlever.core.backend

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.toDuration

/**
 * A backend server's notice to an entry VM.
 *
 * @property isLeaving whether the server is shutting down; it takes no new requests and completes the running ones.
 * @property quietFor how long the notified VM should send no new requests; null if the server did not say.
 * @property limit how many requests the server takes from all entry VMs together; null if the server did not say.
 */
data class ServerNotice(
    val isLeaving: Boolean = false,
    val quietFor: Duration? = null,
    val limit: RequestLimit? = null,
) {
    /** Whether the notice says nothing but the server's limit. */
    val isLimitOnly: Boolean get() = limit != null && !isLeaving && quietFor == null
}

/** A limit on the requests of all entry VMs together, as a server named it in an answer. */
sealed interface RequestLimit {
    data class PerSecond(
        val requests: Double,
    ) : RequestLimit

    /** The answer named a limit that is not a number; the limit known before still holds. */
    data object Unreadable : RequestLimit
}

/** Parses [text] as requests per second, fractions allowed, and caps it at [MAX_REQUESTS_PER_SECOND]. */
fun parseRequestLimit(text: String): RequestLimit {
    val requests = text.trim().toDoubleOrNull()?.takeIf { it.isFinite() && it >= 0 } ?: return RequestLimit.Unreadable
    return RequestLimit.PerSecond(requests.coerceAtMost(MAX_REQUESTS_PER_SECOND))
}

/** Parses [text] as seconds, fractions allowed, and caps it at [MAX_RETRY_AFTER]; null unless it is a finite number >= 0. */
fun parseRetryAfter(text: String): Duration? =
    text
        .trim()
        .toDoubleOrNull()
        ?.takeIf { it.isFinite() && it >= 0 }
        ?.toDuration(DurationUnit.SECONDS)
        ?.coerceAtMost(MAX_RETRY_AFTER)

// A server that is overloaded or restarting recovers well within this time; a longer value is an error.
private val MAX_RETRY_AFTER = 30.seconds

// More than one server can answer; the cap keeps sums of limits finite.
private const val MAX_REQUESTS_PER_SECOND = 100_000.0
