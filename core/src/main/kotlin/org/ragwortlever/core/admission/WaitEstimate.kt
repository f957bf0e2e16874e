/*
 * Estimates how long a request will wait: the work ahead of it in the order of service divided by the measured drain
 * rate. Work is measured in slot-seconds, so the drain rate is the number of slots that the tier can rely on.
 */
package org.ragwortlever.core.admission

import kotlin.time.Instant

/** Expected wait of a new request of [cost] tokens, in seconds; infinite if no capacity is left for it. */
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
 * Backlog of the account in tokens, scaled up by the service that other accounts will take while it waits. Accounts
 * within their share have short queues, so their current backlog underestimates the service that they will take.
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

/** Expected wait in seconds behind [ownSeconds] of work of this lane, for a request that itself takes [costSeconds]. */
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

/** Whether a server of this lane has a free slot. */
internal fun Lane.hasFreeServer(now: Instant): Boolean = !isBlocked && servers.any { it.freeSlots(now) > 0 }

/** Whether all waiting requests of higher tiers still start within their wait if this lane starts one request now. */
internal fun Lane.leavesSlack(now: Instant): Boolean =
    competitors.all { it.lane.tier >= tier || it.lane.waiting == 0 || it.lane.toleratesDelay(serviceSeconds, now) }

/*
 * Checks only the two ends of the lane: the oldest request starts within one round over the accounts, the newest after
 * the whole backlog. The start times of the requests between are on or below the line through these two.
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

/** Slots that higher tiers are expected to need, from the work accepted in the last seconds. */
private fun Lane.reservedSlots(now: Instant): Double =
    competitors.sumOf { if (it.lane.tier < tier) it.fraction * it.lane.acceptedWork.perSecond(now) else 0.0 }

/** Slots not held by lower tiers; at least one if there are slots, since the next free slot goes to this lane. */
private fun Lane.usableSlots(): Double {
    val held = competitors.sumOf { if (it.lane.tier > tier) it.fraction * it.lane.running else 0.0 }
    return (slots - held).coerceAtLeast(minOf(1, slots).toDouble())
}

/** Expected seconds until one of the running attempts on this lane's servers ends. */
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

// The queue of an account that exceeds its share stays at the wait limit. Without a margin, half of its requests would
// start after the limit.
private const val OWN_BACKLOG_MARGIN = 1.25
