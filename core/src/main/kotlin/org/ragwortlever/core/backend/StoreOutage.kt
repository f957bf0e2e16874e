/*
 * Whether the platform's store is away, or was until a moment ago. Entries lapse in an outage although their owners
 * live, and the owners need some time after it to write them again.
 */
package org.ragwortlever.core.backend

import kotlin.time.Duration
import kotlin.time.Instant

/** Not thread-safe. */
internal class StoreOutage {
    private var isOngoing = false
    private var endedAt = Instant.DISTANT_PAST

    fun begin() {
        isOngoing = true
    }

    /** The store answers; without an outage before this changes nothing. */
    fun end(now: Instant) {
        if (!isOngoing) return
        isOngoing = false
        endedAt = now
    }

    /** Whether the store is away or has been back for less than [gracePeriod]. */
    fun isRecent(
        gracePeriod: Duration,
        now: Instant,
    ): Boolean = isOngoing || now < endedAt + gracePeriod
}
