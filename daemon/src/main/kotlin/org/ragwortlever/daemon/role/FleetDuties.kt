// The duties of one node at a time: usage reports and orders for backend servers, both under one lease.
package org.ragwortlever.daemon.role

import okhttp3.OkHttpClient
import org.ragwortlever.core.lease.LeaseClaim
import org.ragwortlever.core.lease.LeaseTimes
import org.ragwortlever.core.settings.BoundSettings
import org.ragwortlever.core.usage.UsageFlush
import org.ragwortlever.core.usage.UsageKeys
import org.ragwortlever.core.usage.UsageWindow
import org.ragwortlever.daemon.platform.KeyValueStore
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** How the platform takes the duties' calls; each call is sent with the given sender. */
interface DutyPorts {
    val client: OkHttpClient

    fun createReportSender(
        sender: BoundedSender,
        windowSeconds: Double,
    ): UsageReportSender

    fun createOrderSender(sender: BoundedSender): CapacityOrderSender
}

/**
 * @param handOver has another node write usage that the store does not take from this one; null if none could.
 * @param leaseClock must count the time in which the process stood still, so that a lease is never believed too long.
 */
internal class FleetDuties(
    node: String,
    bounds: BoundSettings,
    store: KeyValueStore,
    ports: DutyPorts,
    clock: Clock,
    leaseClock: Clock,
    fleet: () -> FleetState,
    private val nodeCount: () -> Int,
    handOver: (UsageFlush) -> UsageFlush?,
) : AutoCloseable {
    private val times = bounds.leaseTimes()
    private val source = "$node@${clock.now().toEpochMilliseconds()}"
    private val lease = LeaseManager(LeaseClaim(UsageKeys.LEASE, source, times), store, leaseClock::now) { true }
    private val sender = BoundedSender(ports.client, times.sendTimeout, lease::isSafeToSend)
    private val scaling = ScalingRole(lease, leaseClock::now, fleet, ports.createOrderSender(sender))
    val usage =
        UsageRole(
            store = store,
            lease = lease,
            now = clock::now,
            source = source,
            nextFlush = { nextFlushTime(it, bounds) },
            times = UsageTimes(bounds.usageWindowSeconds.seconds, usageGrace(bounds), times, USAGE_PAUSE),
            isOpenWindowFlushed = { flushPeriod() < bounds.usageWindowSeconds.seconds },
            handOver = handOver,
            reportSender = ports.createReportSender(sender, bounds.usageWindowSeconds),
        )

    /** Spreads the nodeCount' flushes over the first second after a window's end. */
    private val flushOffset = (node.hashCode() and Int.MAX_VALUE) % FLUSH_SPREAD.inWholeMilliseconds

    fun start() {
        lease.start()
        usage.start()
        scaling.start()
    }

    fun handleLeaseKeyDeleted() = lease.handleKeyDeleted()

    override fun close() {
        scaling.close()
        usage.close()
        lease.close()
    }

    private fun nextFlushTime(
        now: Instant,
        bounds: BoundSettings,
    ): Instant = minOf(
        UsageWindow.containing(now, bounds.usageWindowSeconds.seconds).end + FLUSH_DELAY + flushOffset.milliseconds,
        now + flushPeriod(),
    )

    private fun flushPeriod() = maxOf(FLUSH_PERIOD, FLUSH_PERIOD_PER_NODE * nodeCount())

    private companion object {
        val USAGE_PAUSE = 200.milliseconds

        // Clocks of the nodeCount differ by some milliseconds; a request at the end of a window must be counted first.
        val FLUSH_DELAY = 200.milliseconds
        val FLUSH_SPREAD = 1.seconds

        // A node that is killed loses what it has not flushed, which must stay within the tolerance of a report.
        val FLUSH_PERIOD = 1.25.seconds

        // In a larger fleet each node counts a smaller part, and all together write about three times a second.
        val FLUSH_PERIOD_PER_NODE = 300.milliseconds
    }
}

/** A quarter of the time until usage is due leaves room for a takeover of the lease and for a slow store. */
private fun usageGrace(bounds: BoundSettings) = (bounds.usageDueSeconds / 4).seconds

/** Proportions of the lease's duration; a holder must have time for two failed renewals, and a send ends well before the lease. */
private fun BoundSettings.leaseTimes(): LeaseTimes {
    val duration = leaseSeconds.seconds
    return LeaseTimes(
        duration = duration,
        renewalInterval = duration / 4,
        drift = duration / 10,
        sendTimeout = duration / 4,
        retry = duration / 10,
        // The watch tells when the lease is free; these are for the case that it missed that.
        candidatePollInterval = duration * 10,
        fallbackPollInterval = duration * 10,
    )
}
