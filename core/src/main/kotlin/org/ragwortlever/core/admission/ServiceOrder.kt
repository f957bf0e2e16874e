/*
 * Chooses the lane to serve next: a lane below its minimum share if the higher tiers tolerate the delay, otherwise the
 * highest tier with waiting work and, within it, the lane that was served least in the last seconds.
 */
package org.ragwortlever.core.admission

import kotlin.time.Instant

/**
 * Chooses among lanes.
 *
 * @property strictPriority serve higher tiers first; if false, requests are served in order of arrival.
 * @property minimumShares serve lanes below their minimum share before others.
 * @property guardShares do so only while waiting requests of higher tiers still start in time.
 */
internal class ServiceOrder(
    private val strictPriority: Boolean,
    private val minimumShares: Boolean,
    private val guardShares: Boolean,
) {
    /** Returns the lane whose next request should start; null if no lane has a request that can. */
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
