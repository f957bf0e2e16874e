// The pause before a failed call to a service that may be away for long is made again.
package org.ragwortlever.core.retry

import kotlin.time.Duration

/**
 * Pauses that double from [first] up to [longest], so that many callers of a service that turns them away do not call
 * more often than in ordinary times. Not thread-safe.
 */
class RetryPause(
    private val first: Duration,
    private val longest: Duration,
) {
    private var failures = 0

    /** A call was answered. */
    fun succeeded() {
        failures = 0
    }

    /** A call failed; returns the pause before the next one. */
    fun failed(): Duration = minOf(first * (1 shl failures), longest).also { if (it < longest) failures++ }
}
