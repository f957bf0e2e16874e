/*
 * Estimates how long a request will wait: the work ahead of it in the order of service divided by the measured drain
 * rate. Work is counted in slot-seconds, so the drain rate is the number of slots that the tier can count on.
 */
package org.ragwortlever.core.admission

import kotlin.time.Instant

/** The expected wait of a new request, in seconds; infinite when no capacity is left for it. */
internal fun Lane.estimateWaitSeconds(
    account: String,
    weight: Double,
    cost: Double,
    now: Instant,
): Double {
    val ahead = maxOf(queue.tokensAhead(account, cost, weight), scaleOwnBacklog(account, weight, now))
    return estimateWaitSecondsBehind(ahead * secondsPerToken, cost * secondsPerToken, now)
}

/*
 * The account's own backlog, scaled up by the part of the service that others will take while it waits. The queues
 * of accounts that stay within their share are short, so what waits now says too little about them.
 */
private fun Lane.scaleOwnBacklog(
    account: String,
    weight: Double,
    now: Instant,
): Double {
    val backlog = queue.backlogOf(account)
    if (backlog == 0.0 || slots == 0) return 0.0
    val leftByOthers = 1 - queue.acceptedTokensPerSecondOfOthers(account, now) * secondsPerToken / slots
    return OWN_BACKLOG_MARGIN * backlog / maxOf(queue.guaranteedFraction(account, weight, now), leftByOthers)
}

/** The expected wait behind [ownSeconds] of work of this lane, for a request that itself takes [costSeconds]. */
internal fun Lane.estimateWaitSecondsBehind(
    ownSeconds: Double,
    costSeconds: Double,
    now: Instant,
): Double {
    val own = ownSeconds + (waiting - queue.size) * serviceSeconds
    val sameTier = competitors.sumOf { if (it.lane.tier == tier) minOf(it.waitingSeconds(), own + costSeconds) else 0.0 }
    val higher = competitors.sumOf { if (it.lane.tier < tier) it.waitingSeconds() else 0.0 }
    val reserved = reservedSlots(now)
    val ahead = own + sameTier + higher
    if (ahead == 0.0 && hasFreeServer(now)) return 0.0
    val first = firstFreeSlotSeconds(now)
    val strict = if (usableSlots() > reserved) first + ahead / (usableSlots() - reserved) else Double.POSITIVE_INFINITY
    val share = definition.minimumShare * slots
    if (share <= 0 || !leavesSlack(now)) return strict
    return minOf(strict, first + (own + sameTier) / share)
}

/** Whether a server of this lane has a slot free now. */
internal fun Lane.hasFreeServer(now: Instant): Boolean = !isBlocked && servers.any { it.freeSlots(now) > 0 }

/** Whether every waiting request of the higher tiers still starts within its wait when this lane goes ahead once. */
internal fun Lane.leavesSlack(now: Instant): Boolean =
    competitors.all { it.lane.tier >= tier || it.lane.waiting == 0 || it.lane.toleratesDelay(serviceSeconds, now) }

/*
 * Compares the two ends of the lane: the oldest request starts within one round over the accounts, the newest after
 * the whole backlog. Those between lie on or below the line through these two.
 */
private fun Lane.toleratesDelay(
    delaySeconds: Double,
    now: Instant,
): Boolean {
    val oldest = findOldest() ?: return true
    val higher = competitors.sumOf { if (it.lane.tier < tier) it.waitingSeconds() else 0.0 }
    val sameTier = competitors.sumOf { if (it.lane.tier == tier) it.waitingSeconds() else 0.0 }
    val round = minOf(backlogSeconds, queue.activeAccounts * queue.meanCost * secondsPerToken)
    val toOldest = estimateStartSeconds(higher + minOf(sameTier, round) + round, delaySeconds, now)
    val toNewest = estimateStartSeconds(higher + sameTier + backlogSeconds, delaySeconds, now)
    return toOldest <= (oldest.deadline - now).inSeconds() && toNewest <= definition.waitSeconds
}

private fun Lane.estimateStartSeconds(
    workSeconds: Double,
    delaySeconds: Double,
    now: Instant,
): Double {
    val left = usableSlots() - reservedSlots(now) - 1
    return firstFreeSlotSeconds(now) + if (left >= 1) workSeconds / left else workSeconds + delaySeconds
}

/** Slots that work of higher tiers is expected to take, by what was accepted in the last seconds. */
private fun Lane.reservedSlots(now: Instant): Double =
    competitors.sumOf { if (it.lane.tier < tier) it.fraction * it.lane.acceptedWork.perSecond(now) else 0.0 }

/** Slots that are not held by lower tiers; one at least, because the first that becomes free goes to this lane. */
private fun Lane.usableSlots(): Double {
    val held = competitors.sumOf { if (it.lane.tier > tier) it.fraction * it.lane.running else 0.0 }
    return (slots - held).coerceAtLeast(minOf(1, slots).toDouble())
}

/** Expected time until one of the running attempts on this lane's servers ends. */
private fun Lane.firstFreeSlotSeconds(now: Instant): Double {
    val known = nextExpectedEnd?.takeIf { it > now } ?: computeNextEnd(now).also { nextExpectedEnd = it }
    return (known - now).inSeconds()
}

private fun Lane.computeNextEnd(now: Instant): Instant {
    var earliest = Instant.DISTANT_FUTURE
    servers.forEach { server -> server.work.forEach { earliest = minOf(earliest, it.expectedEnd(now)) } }
    return if (earliest == Instant.DISTANT_FUTURE) now else earliest
}

private fun Competitor.waitingSeconds(): Double = if (lane.waiting == 0) 0.0 else fraction * lane.backlogSeconds

// An account that sends more than its share keeps its queue at the limit of the wait. Without a margin, half of its
// requests would start after it.
private const val OWN_BACKLOG_MARGIN = 1.25
