// A running attempt, for the capacity estimate of its server.
package org.ragwortlever.core.capacity

import org.ragwortlever.core.admission.Lane
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** A running attempt of a request of [lane], with an estimate of its end. */
internal class RunningWork(
    val lane: Lane,
    val startedAt: Instant,
) {
    /** Expected end by the mean duration of the lane; an overdue attempt is expected to take another tenth of the mean. */
    fun expectedEnd(now: Instant): Instant {
        val mean = lane.serviceSeconds
        return maxOf(startedAt + mean.seconds, now + (mean * OVERDUE_FRACTION).seconds)
    }

    private companion object {
        const val OVERDUE_FRACTION = 0.1
    }
}
