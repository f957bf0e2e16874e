/*
 * Tracks outages of the platform's store. During an outage entries expire although their owners are alive, and the owners
 * need some time after it to write them again.
 */
package org.ragwortlever.core.backend

import kotlin.time.Duration
import kotlin.time.Instant

/** The current or last outage of the store; not thread-safe. */
internal class StoreOutage {
    private var isOngoing = false
    private var endedAt = Instant.DISTANT_PAST

    /** Records that the store is unavailable. */
    fun begin() {
        isOngoing = true
    }

    /** Records that the store answers; does nothing if there is no outage. */
    fun end(now: Instant) {
        if (!isOngoing) return
        isOngoing = false
        endedAt = now
    }

    /** Records that the store has come back from an older copy, also if no call has failed meanwhile. */
    fun endWithRestore(now: Instant) {
        isOngoing = false
        endedAt = now
    }

    /** Whether the store is unavailable or has recovered less than [gracePeriod] before [now]. */
    fun isRecent(
        gracePeriod: Duration,
        now: Instant,
    ): Boolean = isOngoing || now < endedAt + gracePeriod
}
