/*
 * Tracks each lane's minimum share of the generated tokens. A lane that gets less is owed the difference, up to five
 * seconds of its share, and catches up when the waiting requests of higher tiers can bear the delay.
 */
package org.ragwortlever.core.admission

import kotlin.math.ceil

/** Records that [tokens] were generated for [lane] by a server that also serves [lanes]. */
internal fun recordMinimumShares(
    lane: Lane,
    tokens: Int,
    lanes: List<Lane>,
) {
    lanes.forEach { other -> if (other.waiting > 0) other.addOwedTokens(MINIMUM_SHARE_MARGIN * other.definition.minimumShare * tokens) }
    if (lane.definition.minimumShare > 0) lane.addOwedTokens(-tokens.toDouble())
}

/** Whether the lane is below its minimum share and may run one more request to catch up. */
internal fun Lane.isBelowShare(): Boolean {
    val share = definition.minimumShare
    if (share <= 0) return false
    val perSecond = shareTokensPerSecond()
    // Slots within the share are kept; each slot given up would cost a wait to get it back.
    if (running + 1 <= share * slots && owedTokens > -SURPLUS_SECONDS * perSecond) return true
    if (owedTokens <= 0) return false
    // A request that has just started yields its tokens later; without this bound a lane would start far too many.
    val factor = if (owedTokens > REPAYMENT_SECONDS * perSecond) REPAYMENT_FACTOR else 1
    return running < maxOf(1.0, ceil(factor * share * slots))
}

private fun Lane.addOwedTokens(tokens: Double) {
    val perSecond = shareTokensPerSecond()
    owedTokens = (owedTokens + tokens).coerceIn(-SURPLUS_SECONDS * perSecond, OWED_SECONDS * perSecond)
}

private fun Lane.shareTokensPerSecond(): Double = definition.minimumShare * slots / secondsPerToken

// A lane that gets exactly its share on average would be below it in half of the five-second windows.
private const val MINIMUM_SHARE_MARGIN = 1.1

private const val OWED_SECONDS = 5

// With more surplus carried over, the lane would pause so long that it falls below its share over five seconds.
private const val SURPLUS_SECONDS = 0.5

// A lane that is owed more than this gets up to twice its share until it has caught up.
private const val REPAYMENT_SECONDS = 0.25
private const val REPAYMENT_FACTOR = 2
