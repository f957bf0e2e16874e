/*
 * How many requests this entry VM may still send to a server process that has named a limit for all entry VMs together.
 *
 * Every VM accrues an equal share of the limit. A VM that asks the decider hands its share over with the question, so a
 * share is spent at most once, whoever decides and however many VMs take themselves for the decider. Shares that are not
 * spent expire. Within any window, all VMs together therefore send at most limit x (window + lifetime) requests.
 */
package org.ragwortlever.core.dispatch

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** [requests] that were accrued evenly during the last [age]. */
internal data class AllowanceShare(
    val requests: Double,
    val age: Duration,
)

/** Starts to accrue at [start] with nothing. Not thread-safe. */
internal class RequestAllowance(
    start: Instant,
) {
    /** Accrued by this VM. */
    private val own = AccruedRequests()

    /** Handed over by other VMs. */
    private val received = AccruedRequests()
    private var accruedUntil = start

    /** Requests that may be sent now, as of the last [accrue]. */
    val available: Double get() = own.total + received.total

    /** Adds this VM's share of [requestsPerSecond], which [vms] entry VMs accrue alike, and removes expired shares. */
    fun accrue(
        requestsPerSecond: Double,
        vms: Int,
        now: Instant,
    ) {
        val oldest = now - MIN_LIFETIME - 1.seconds * (LIFETIME_REQUESTS / requestsPerSecond)
        accruedUntil = maxOf(accruedUntil, oldest)
        val step = requestsPerSecond * STEP.toDouble(DurationUnit.SECONDS) / vms
        while (accruedUntil + STEP <= now) {
            own.add(accruedUntil, step)
            accruedUntil += STEP
        }
        own.removeBefore(oldest)
        received.removeBefore(oldest)
    }

    /** Adds a share that another VM has handed over. */
    fun add(
        share: AllowanceShare,
        now: Instant,
    ) {
        val steps = (share.age / STEP).toInt().coerceIn(1, MAX_STEPS)
        repeat(steps) { received.add(now - share.age + STEP * it, share.requests / steps) }
    }

    /** Spends one request; the caller has checked [available]. */
    fun take() = own.take(1.0 - received.take(1.0))

    /** Removes what this VM accrued itself and returns it; null when there is nothing. */
    fun removeOwn(now: Instant): AllowanceShare? {
        val oldest = own.oldest ?: return null
        return AllowanceShare(own.total, now - oldest).also { own.clear() }
    }
}

/** Amounts by the time at which they were accrued, in steps of [STEP]. */
private class AccruedRequests {
    private val amounts = sortedMapOf<Long, Double>()

    val total: Double get() = amounts.values.sum()
    val oldest: Instant? get() = if (amounts.isEmpty()) null else Instant.fromEpochMilliseconds(amounts.firstKey() * STEP_MILLISECONDS)

    fun add(
        at: Instant,
        amount: Double,
    ) {
        amounts.merge(at.toStep(), amount, Double::plus)
    }

    /** Takes up to [amount], the oldest first, and returns how much that was. */
    fun take(amount: Double): Double {
        var missing = amount
        while (missing > 0 && amounts.isNotEmpty()) {
            val first = amounts.firstKey()
            val available = amounts.getValue(first)
            if (available > missing) amounts[first] = available - missing else amounts.remove(first)
            missing -= minOf(available, missing)
        }
        return amount - missing
    }

    fun removeBefore(time: Instant) = amounts.headMap(time.toStep()).clear()

    fun clear() = amounts.clear()

    private fun Instant.toStep(): Long = toEpochMilliseconds() / STEP_MILLISECONDS
}

private const val STEP_MILLISECONDS = 100L
private val STEP = STEP_MILLISECONDS.milliseconds

// A share that is handed over has at most this many steps; more would be older than any lifetime.
private const val MAX_STEPS = 100

// Longer than the interval at which VMs hand over their shares.
private val MIN_LIFETIME = 1.5.seconds

// In this many requests' worth of time one whole request is accrued, even if half of the VMs hand over nothing.
private const val LIFETIME_REQUESTS = 2
