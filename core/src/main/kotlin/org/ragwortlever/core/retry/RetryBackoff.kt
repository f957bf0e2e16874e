// Exponential backoff for calls to a service that may be unavailable for a long time.
package org.ragwortlever.core.retry

import kotlin.time.Duration

/**
 * Delays that double from [initialDelay] up to [maximumDelay], so that a service that refuses many callers doesn't get
 * more calls than in normal operation. Not thread-safe.
 */
class RetryBackoff(
    private val initialDelay: Duration,
    private val maximumDelay: Duration,
) {
    private var failures = 0

    /** Resets the delay after a successful call. */
    fun reset() {
        failures = 0
    }

    /** Returns the delay before the next call after a failed one. */
    fun nextDelay(): Duration = minOf(initialDelay * (1 shl failures), maximumDelay).also { if (it < maximumDelay) failures++ }
}
