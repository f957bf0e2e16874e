/*
 * Whether the platform's store is away, or was until a moment ago. Entries lapse in an outage although their owners
 * live, and the owners need some time after it to write them again.
 */
package org.ragwortlever.core.backend

import kotlin.time.Duration
import kotlin.time.Instant

/** Not thread-safe. */
internal class StoreOutage {
    private var lasts = false
    private var endedAt = Instant.DISTANT_PAST

    fun began() {
        lasts = true
    }

    /** The store answers; without an outage before this changes nothing. */
    fun ended(now: Instant) {
        if (!lasts) return
        lasts = false
        endedAt = now
    }

    /** Whether the store is away or has been back for less than [returnTime]. */
    fun isRecent(
        returnTime: Duration,
        now: Instant,
    ): Boolean = lasts || now < endedAt + returnTime
}
