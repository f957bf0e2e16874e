// Runs the exclusive roles for which this node is a candidate.
package org.ragwortlever.daemon.role

import okhttp3.OkHttpClient
import org.ragwortlever.core.key.sha256Hex
import org.ragwortlever.core.lease.LeaseClaim
import org.ragwortlever.core.lease.LeaseTimes
import org.ragwortlever.core.order.OrderKeys
import org.ragwortlever.core.settings.Settings
import org.ragwortlever.core.usage.UsageKeys
import org.ragwortlever.core.usage.flushInterval
import org.ragwortlever.daemon.platform.KeyValueStore
import org.ragwortlever.daemon.platform.VirtualMachine
import kotlin.random.Random
import kotlin.time.Instant

/**
 * The roles that at most one node holds at a time: server orders for this node's availability zone, and usage reports.
 *
 * @param machines current entry VMs; empty while the list is unknown.
 */
internal class ExclusiveRoles(
    private val settings: Settings,
    private val store: KeyValueStore,
    client: OkHttpClient,
    private val now: () -> Instant,
    private val machines: () -> List<VirtualMachine>,
) : AutoCloseable {
    private val source = "${settings.nodeId}@${now().toEpochMilliseconds()}-${Random.nextInt(Int.MAX_VALUE)}"
    private val orderLease = createLeaseManager(OrderKeys.lease(settings.zone)) { it.zone == settings.zone }
    private val usageLease = createLeaseManager(UsageKeys.LEASE) { true }
    val orders = OrderRole(settings.platform, store, client, orderLease, now, settings.zone)
    val usage =
        UsageRole(
            store = store,
            lease = usageLease,
            now = now,
            source = source,
            nextFlush = { it + flushInterval(machines().size) },
            reportSender =
                HttpUsageReportSender(settings.platform, BoundedSender(client, LeaseTimes().sendTimeout, usageLease::isSafeToSend)),
        )

    fun start() {
        orderLease.start()
        usageLease.start()
        orders.start()
        usage.start()
    }

    override fun close() {
        orders.close()
        usage.close()
        orderLease.close()
        usageLease.close()
    }

    private fun createLeaseManager(
        key: String,
        isEligible: (VirtualMachine) -> Boolean,
    ) = LeaseManager(LeaseClaim(key, source), store, now) { isPreferred(key, machines().filter(isEligible)) }

    /**
     * Returns whether this node is among the first candidates for the lease [key]. Only these poll the store often for
     * a free role, so that the number of reads does not grow with the fleet.
     */
    private fun isPreferred(
        key: String,
        candidates: List<VirtualMachine>,
    ): Boolean {
        val preferred = candidates.map { it.id }.sortedBy { sha256Hex("$key $it".toByteArray()) }.take(PREFERRED_CANDIDATES)
        return preferred.isEmpty() || settings.nodeId in preferred
    }

    private companion object {
        const val PREFERRED_CANDIDATES = 3
    }
}
