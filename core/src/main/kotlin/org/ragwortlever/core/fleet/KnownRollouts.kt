/*
 * The operators' roll-out orders and the decisions on them, as this VM knows them from the store. A store that comes back
 * from an older copy may lack some of them or have earlier ones. What this VM knows stays in force until the operators and
 * the holder of the duties have had time to write it again, so that no roll-out goes back.
 */
package org.ragwortlever.core.fleet

import org.ragwortlever.core.rollout.RolloutOrder
import org.ragwortlever.core.rollout.RolloutRecord
import org.ragwortlever.core.store.revisionInStore
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Orders and records by service; not thread-safe. */
internal class KnownRollouts {
    /** Roll-outs that the operators have ordered. */
    var orders: Map<String, RolloutOrder> = emptyMap()
        private set

    /** Decisions on roll-outs. */
    var records: Map<String, RolloutRecord> = emptyMap()
        private set

    private var kept: Kept? = null

    /** What is kept after a restore although the listing lacks it or has an earlier one, and that listing. */
    private class Kept(
        val orders: MutableSet<String>,
        val records: MutableSet<String>,
        val listedOrders: Map<String, RolloutOrder>,
        val listedRecords: Map<String, RolloutRecord>,
        val until: Instant,
    )

    fun order(order: RolloutOrder) {
        orders += order.service to order
        kept?.orders?.remove(order.service)
    }

    fun withdraw(service: String) {
        orders -= service
        kept?.orders?.remove(service)
    }

    /**
     * Applies the decision [record]. A holder that knows only the copy may decide again on a roll-out that has ended; the end
     * holds until the other decision has ended too.
     */
    fun decide(record: RolloutRecord) {
        val known = records[record.service]
        val hasEnded = known != null && !known.isOpen && known.isSameRollout(record)
        records += record.service to if (hasEnded && record.isOpen) known.copy(order = record.order) else record
        kept?.records?.remove(record.service)
    }

    fun forget(service: String) {
        records -= service
        kept?.records?.remove(service)
    }

    /** Replaces everything with a complete listing of the store; after a restore, except what the listing may lack. */
    fun replaceAll(
        listedOrders: Map<String, RolloutOrder>,
        listedRecords: Map<String, RolloutRecord>,
        now: Instant,
        isRestored: Boolean,
    ) {
        // A second listing soon after a restore does not end the grace period.
        val before = kept?.takeIf { now < it.until }
        val until = if (isRestored) now + RETURN_GRACE_PERIOD else before?.until
        val keptOrders =
            orders.filterValues { (isRestored || it.service in before?.orders.orEmpty()) && it.isMissingIn(listedOrders) }
        val keptRecords =
            records.filterValues { (isRestored || it.service in before?.records.orEmpty()) && it.isMissingIn(listedRecords) }
        orders = listedOrders + keptOrders
        records = listedRecords + keptRecords
        kept = until?.let { Kept(keptOrders.keys.toMutableSet(), keptRecords.keys.toMutableSet(), listedOrders, listedRecords, it) }
    }

    /**
     * Replaces what was not written again in time with what the listing had; returns whether anything has changed. A record
     * whose order is there stays, for the holder to write.
     */
    fun expire(now: Instant): Boolean {
        val expired = kept?.takeIf { now >= it.until } ?: return false
        kept = null
        orders = orders - expired.orders + expired.listedOrders.filterKeys { it in expired.orders }
        val dropped = expired.records.filter { service -> orders[service]?.let { records[service]?.carriesOut(it) } != true }
        records = records - dropped.toSet() + expired.listedRecords.filterKeys { it in dropped }
        return expired.orders.isNotEmpty() || dropped.isNotEmpty()
    }

    private fun RolloutOrder.isMissingIn(listed: Map<String, RolloutOrder>): Boolean {
        val other = listed[service] ?: return true
        val isSame = version == other.version && duration == other.duration
        return !isSame && revisionInStore(other.revision) < revisionInStore(revision)
    }

    private fun RolloutRecord.isMissingIn(listed: Map<String, RolloutRecord>): Boolean = listed[service]?.let { isAfter(it) } ?: true

    private companion object {
        // The operators write again what a restored store lacks, but how soon is not known.
        val RETURN_GRACE_PERIOD = 5.seconds
    }
}
