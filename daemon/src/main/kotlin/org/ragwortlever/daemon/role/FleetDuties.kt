// The duties that only one node of the fleet performs at a time: usage reports and orders for backend servers, under one lease.
package org.ragwortlever.daemon.role

import okhttp3.OkHttpClient
import org.ragwortlever.core.lease.LeaseClaim
import org.ragwortlever.core.lease.LeaseTimes
import org.ragwortlever.core.rollout.RolloutRecord
import org.ragwortlever.core.settings.BoundSettings
import org.ragwortlever.core.store.Write
import org.ragwortlever.core.usage.UsageFlush
import org.ragwortlever.core.usage.UsageKeys
import org.ragwortlever.core.usage.UsageWindow
import org.ragwortlever.daemon.platform.KeyValueStore
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Adapters for the platform's API, which receives the calls of the duties. */
interface DutyPorts {
    /** HTTP client for all calls of the duties. */
    val client: OkHttpClient

    /** Creates the sender of reports on usage windows of [windowSeconds] seconds; every report is sent with [sender]. */
    fun createReportSender(
        sender: BoundedSender,
        windowSeconds: Double,
    ): UsageReportSender

    /** The store entry that tells the operators how the roll-out of [record] stands. */
    fun rolloutStatus(record: RolloutRecord): Write.Put

    /** Creates the sender of capacity orders; every order is sent with [sender]. */
    fun createOrderSender(sender: BoundedSender): CapacityOrderSender
}

/**
 * Counts this node's usage, and performs the duties while this node holds their lease.
 *
 * @param leaseClock must include the time in which the process was suspended; otherwise an expired lease would seem valid.
 * @param nodeCount current number of nodes in the fleet.
 * @param handOver asks another node to write usage that the store did not accept from this one; returns null if none could.
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
    private val scaling = ScalingRole(lease, leaseClock::now, fleet, ports.createOrderSender(sender), clock::now)

    /** Decides on the roll-outs that the operators have ordered. */
    val rollouts = RolloutRole(node, RolloutStore(store, lease, ports::rolloutStatus), lease, leaseClock::now, clock::now, fleet)
    val usage =
        UsageRole(
            store = store,
            lease = lease,
            now = clock::now,
            source = source,
            nextFlush = { nextFlushTime(it, bounds) },
            times =
                UsageTimes(bounds.usageWindowSeconds.seconds, usageGrace(bounds), times, USAGE_PAUSE, bounds.usageDueSeconds.seconds),
            isOpenWindowFlushed = { flushPeriod() < bounds.usageWindowSeconds.seconds },
            handOver = handOver,
            reportSender = ports.createReportSender(sender, bounds.usageWindowSeconds),
        )

    /** Milliseconds; spreads the flushes of the nodes over the first second after the end of a window. */
    private val flushOffset = (node.hashCode() and Int.MAX_VALUE) % FLUSH_SPREAD.inWholeMilliseconds

    fun start() {
        lease.start()
        usage.start()
        scaling.start()
        rollouts.start()
    }

    /** Handles the deletion of the lease key in the store, which frees the lease. */
    fun handleLeaseKeyDeleted() = lease.handleKeyDeleted()

    override fun close() {
        rollouts.close()
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

        // Node clocks differ by some milliseconds, and requests at the end of a window must be counted before its flush.
        val FLUSH_DELAY = 200.milliseconds
        val FLUSH_SPREAD = 1.seconds

        // A killed node loses its unflushed counts; this loss must stay within the tolerance of a usage report.
        val FLUSH_PERIOD = 1.25.seconds

        // In a larger fleet each node counts a smaller share; with this period all nodes together write about three times a second.
        val FLUSH_PERIOD_PER_NODE = 300.milliseconds
    }
}

/** Returns a quarter of the time until usage is due; the rest leaves room for a takeover of the lease and for a slow store. */
private fun usageGrace(bounds: BoundSettings) = (bounds.usageDueSeconds / 4).seconds

/**
 * Derives all lease times from the lease duration. A holder must have time for two failed renewals, and a send must end well
 * before the lease does.
 */
private fun BoundSettings.leaseTimes(): LeaseTimes {
    val duration = leaseSeconds.seconds
    return LeaseTimes(
        duration = duration,
        renewalInterval = duration / 4,
        drift = duration / 10,
        sendTimeout = duration / 4,
        retry = duration / 10,
        // The watch reports when the lease is free; these polls cover the case that it missed the deletion of the key.
        candidatePollInterval = duration * 10,
        fallbackPollInterval = duration * 10,
    )
}
