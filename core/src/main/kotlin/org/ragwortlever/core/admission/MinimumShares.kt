/*
 * Keeps account of each lane's minimum share of the generated tokens. What a lane yields is owed to it, up to five
 * seconds of the share, and is repaid when the higher tiers leave slack.
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
    // Slots that make up no more than the share are kept; giving them up would cost a wait for each to come back.
    if (running + 1 <= share * slots && owedTokens > -SURPLUS_SECONDS * perSecond) return true
    if (owedTokens <= 0) return false
    // Tokens of a request that has just started come later; without this bound a lane would start far too many.
    val factor = if (owedTokens > REPAYMENT_SECONDS * perSecond) REPAYMENT_FACTOR else 1
    return running < maxOf(1.0, ceil(factor * share * slots))
}

private fun Lane.addOwedTokens(tokens: Double) {
    val perSecond = shareTokensPerSecond()
    owedTokens = (owedTokens + tokens).coerceIn(-SURPLUS_SECONDS * perSecond, OWED_SECONDS * perSecond)
}

private fun Lane.shareTokensPerSecond(): Double = definition.minimumShare * slots / secondsPerToken

// With exactly the share on average, a lane would be below it in half of the five-second windows.
private const val MINIMUM_SHARE_MARGIN = 1.1

private const val OWED_SECONDS = 5

// A longer memory of surplus makes the lane pause so long that it falls below its share over five seconds.
private const val SURPLUS_SECONDS = 0.5

// A lane that is owed more than this gets up to twice its share until the rest is repaid.
private const val REPAYMENT_SECONDS = 0.25
private const val REPAYMENT_FACTOR = 2
