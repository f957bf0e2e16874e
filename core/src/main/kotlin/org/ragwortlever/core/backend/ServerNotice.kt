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
 */
data class ServerNotice(
    val isLeaving: Boolean = false,
    val quietFor: Duration? = null,
)

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
