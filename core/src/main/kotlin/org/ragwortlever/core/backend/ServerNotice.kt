// What a backend server says of itself in an answer, whatever else the answer holds.
package org.ragwortlever.core.backend

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.toDuration

/**
 * @property isLeaving whether the server stops and takes no new requests; it finishes those that it has.
 * @property quietFor how long the server wants no new requests from the VM that it told so; null when it didn't say.
 */
data class ServerNotice(
    val isLeaving: Boolean = false,
    val quietFor: Duration? = null,
)

/** The time that [text] gives in seconds, fractions allowed; null when it can't be read. */
fun parseRetryAfter(text: String): Duration? =
    text
        .trim()
        .toDoubleOrNull()
        ?.takeIf { it.isFinite() && it >= 0 }
        ?.toDuration(DurationUnit.SECONDS)
        ?.coerceAtMost(MAX_RETRY_AFTER)

// A server that is overloaded or starts anew is back well within this; a longer time is a mistake.
private val MAX_RETRY_AFTER = 30.seconds
