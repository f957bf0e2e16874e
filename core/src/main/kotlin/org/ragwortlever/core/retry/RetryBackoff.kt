// The pause before a failed call to a service that may be away for long is made again.
package org.ragwortlever.core.retry

import kotlin.time.Duration

/**
 * Pauses that double from [initialDelay] up to [maximumDelay], so that many callers of a service that turns them away do not call
 * more often than in ordinary times. Not thread-safe.
 */
class RetryBackoff(
    private val initialDelay: Duration,
    private val maximumDelay: Duration,
) {
    private var failures = 0

    /** A call was answered. */
    fun reset() {
        failures = 0
    }

    /** A call failed; returns the pause before the next one. */
    fun nextDelay(): Duration = minOf(initialDelay * (1 shl failures), maximumDelay).also { if (it < maximumDelay) failures++ }
}
