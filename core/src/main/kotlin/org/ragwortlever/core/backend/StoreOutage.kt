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
    private var restoredAt = Instant.DISTANT_PAST

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
        restoredAt = now
    }

    /** Records that the store has served others during the last outage, so that no entry of a live owner has expired in it. */
    fun dismiss() {
        endedAt = Instant.DISTANT_PAST
    }

    /** Whether the store is unavailable or has recovered less than [gracePeriod] before [now]. */
    fun isRecent(
        gracePeriod: Duration,
        now: Instant,
    ): Boolean = now < endOf(gracePeriod)

    /** Whether the store has come back from an older copy less than [period] before [now]. */
    fun isRestoreRecent(
        period: Duration,
        now: Instant,
    ): Boolean = now < restoredAt + period

    /** Returns the time from which on [isRecent] is false; in the distant future during an outage. */
    fun endOf(gracePeriod: Duration): Instant = if (isOngoing) Instant.DISTANT_FUTURE else maxOf(endedAt, restoredAt) + gracePeriod
}
