// Finds accepted requests whose wait has run out while none of their servers shows any progress.
package org.ragwortlever.core.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Requests of the lane to give up on because their wait is over and its servers have stalled. A request that is late
 * while its servers still work is served late, since the work ahead of it ends soon.
 */
internal fun Lane.findRequestsLostToStall(now: Instant): List<WaitingRequest> {
    val oldest = findOldest() ?: return emptyList()
    if (now < oldest.arrival + definition.waitSeconds.seconds || !isStalled(now)) return emptyList()
    return listWaiting().filter { it.deadline <= now }
}

private fun Lane.isStalled(now: Instant): Boolean =
    servers.all { it.freeSlots(now) <= 0 && it.lastProgressAt < now - computeStallTime() }

/** A prefill brings no token for up to the first-token target, so a stall shows only after twice that. */
private fun Lane.computeStallTime(): Duration = maxOf(MINIMUM_STALL_TIME, definition.firstTokenTargetSeconds.seconds * 2)

private val MINIMUM_STALL_TIME = 1.seconds
