// When to look for accepted requests that have to be given up on, and which they are.
package org.ragwortlever.core.admission

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

internal class LostRequestCheck {
    private var nextCheckAt = Instant.DISTANT_PAST

    /** Capacity has been lost: the next check is due at once. */
    fun recordCapacityLoss(now: Instant) {
        nextCheckAt = now
    }

    /**
     * Calls [giveUp] for each request of [lanes] to give up on, the lowest tier first. [giveUp] takes the request out
     * of its lane, which makes room for those that are looked at after it.
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
        // A walk over the waiting requests; often enough to answer within the resolution of a caller's retry.
        val INTERVAL = 250.milliseconds
    }
}
