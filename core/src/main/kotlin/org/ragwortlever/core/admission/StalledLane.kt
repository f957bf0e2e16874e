// Finds accepted requests that have exceeded their wait while none of their servers makes progress.
package org.ragwortlever.core.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Returns the requests of the lane that are past their deadline while all of its servers have stalled. If the servers
 * still make progress, late requests stay and are served late, since the work ahead of them ends soon.
 */
internal fun Lane.findRequestsLostToStall(now: Instant): List<WaitingRequest> {
    val oldest = findOldest() ?: return emptyList()
    if (now < oldest.arrival + definition.waitSeconds.seconds || !isStalled(now)) return emptyList()
    return listWaiting().filter { it.deadline <= now }
}

private fun Lane.isStalled(now: Instant): Boolean = servers.all { it.freeSlots(now) <= 0 && it.lastProgressAt < now - stallTime() }

/** A prefill yields no token for up to the first-token target, so only twice that time counts as a stall. */
private fun Lane.stallTime(): Duration = maxOf(MINIMUM_STALL_TIME, definition.firstTokenTargetSeconds.seconds * 2)

private val MINIMUM_STALL_TIME = 1.seconds
