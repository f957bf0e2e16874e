// Finds accepted requests that can no longer be served in time: after a loss of capacity and at intervals.
package org.ragwortlever.core.admission

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Schedules the search for requests to give up on. Not thread-safe. */
internal class LostRequestCheck {
    private var nextCheckAt = Instant.DISTANT_PAST

    /** Makes the next call of [run] check at once, since capacity has been lost. */
    fun recordCapacityLoss(now: Instant) {
        nextCheckAt = now
    }

    /**
     * Calls [giveUp] for each request of [lanes] to give up on, the lowest tier first, if a check is due. [giveUp] must
     * remove the request from its lane, which shortens the wait of the requests that are checked after it.
     */
    fun run(
        lanes: List<Lane>,
        now: Instant,
        giveUp: (Lane, WaitingRequest) -> Unit,
    ) {
        if (now < nextCheckAt) return
        nextCheckAt = now + INTERVAL
        lanes.asReversed().filter { it.waiting > 0 }.forEach { lane ->
            val hasLost = (lane.findOldest()?.arrival ?: now) < lane.lastCapacityLossAt
            val lost = if (hasLost) lane.findRequestsLostToCapacityLoss(now) else lane.findRequestsLostToStall(now)
            lost.forEach { giveUp(lane, it) }
        }
    }

    private companion object {
        // Each check iterates over the waiting requests. Retry-After has a resolution of one second, so this is often enough.
        val INTERVAL = 250.milliseconds
    }
}
