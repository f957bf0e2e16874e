/*
 * Which lane goes next: a lane below its minimum share if the higher tiers can bear the delay, else the highest tier
 * with waiting work and, within it, the lane that has been served least in the last seconds.
 */
package org.ragwortlever.core.admission

import kotlin.time.Instant

/** Chooses among lanes. With [strictPriority] false, the request that arrived first goes first. */
internal class ServiceOrder(
    private val strictPriority: Boolean,
    private val minimumShares: Boolean,
    private val guardShares: Boolean,
) {
    /** The lane whose next request should start, or null when no lane has a request that could. */
    fun chooseLane(
        lanes: List<Lane>,
        now: Instant,
    ): Lane? {
        if (!strictPriority) return lanes.filter { it.isReady() }.minByOrNull { it.findOldest()?.arrival ?: now }
        if (minimumShares) chooseLaneBelowShare(lanes, now)?.let { return it }
        var best: Lane? = null
        for (lane in lanes) {
            if (!lane.isReady()) continue
            if (best == null) {
                best = lane
                continue
            }
            if (lane.tier > best.tier) break
            if (lane.precedes(best, now)) best = lane
        }
        return best
    }

    private fun chooseLaneBelowShare(
        lanes: List<Lane>,
        now: Instant,
    ): Lane? {
        var best: Lane? = null
        for (lane in lanes) {
            if (!lane.isReady() || !lane.isBelowShare()) continue
            if (guardShares && !lane.leavesSlack(now)) continue
            if (best == null || lane.owedTokens / lane.definition.minimumShare > best.owedTokens / best.definition.minimumShare) best = lane
        }
        return best
    }
}

private fun Lane.isReady(): Boolean = !isBlocked && waiting > 0

private fun Lane.precedes(
    other: Lane,
    now: Instant,
): Boolean {
    if (hasRetries != other.hasRetries) return hasRetries
    return servedTokens.perSecond(now) < other.servedTokens.perSecond(now)
}
