/*
 * What part of a service's requests a version under roll-out gets. Each VM assigns a request by a hash of its id, so the
 * share holds over any number of VMs without a message between them, also when some of them know only an older share:
 * no VM raises a share that it has not read.
 */
package org.ragwortlever.core.rollout

import org.ragwortlever.core.membership.inRendezvousOrder
import org.ragwortlever.core.membership.rendezvousWeight
import kotlin.math.ceil

/**
 * @property share share of the requests that [version] gets, from 0 to 1.
 * @property isExclusive whether the other versions get nothing, even if [version] has no server.
 */
data class VersionShare(
    val version: String,
    val share: Double,
    val isExclusive: Boolean = false,
) {
    /** Whether a server of [serverVersion] may get any request now. */
    fun allows(serverVersion: String): Boolean = if (serverVersion == version) share > 0 else !isExclusive

    /**
     * Filters [servers] for the request [requestId].
     *
     * @param isRetry whether a server has failed the request; it then goes to the old version, which has proved itself.
     * @param usable all servers of the service that take requests.
     */
    fun <T> filter(
        servers: List<T>,
        requestId: String,
        isRetry: Boolean,
        usable: List<T>,
        describe: (T) -> VersionedServer,
    ): List<T> {
        val (new, old) = servers.partition { describe(it).version == version }
        return when {
            isExclusive -> new
            share >= 1 -> new.ifEmpty { old }
            share <= 0 || isRetry || positionOf(requestId) >= share -> old
            else -> canaries(usable.map(describe)).let { ids -> new.filter { describe(it).id in ids } }.ifEmpty { old }
        }
    }

    /**
     * The servers of the new version that get its share. They are so few that each of them gets as much as a server of the
     * old version, because some faults of a version show only under load.
     */
    private fun canaries(usable: List<VersionedServer>): Set<String> {
        val (new, old) = usable.partition { it.version == version }
        val count = ceil(share * old.size).toInt().coerceAtLeast(1)
        return new.inRendezvousOrder(version) { it.id }.take(count).mapTo(HashSet()) { it.id }
    }

    companion object {
        /** What [orders] and [records] say, by service. */
        fun of(
            orders: Map<String, RolloutOrder>,
            records: Map<String, RolloutRecord>,
        ): Map<String, VersionShare> = (orders.keys + records.keys).associateWith { of(orders[it], records[it]) }

        private fun of(
            order: RolloutOrder?,
            record: RolloutRecord?,
        ): VersionShare {
            // A version that nobody has begun to roll out gets nothing, and neither does one whose order was taken back.
            if (order != null && record?.carriesOut(order) != true) return VersionShare(order.version, 0.0)
            checkNotNull(record)
            return when (record.stage) {
                RolloutStage.CANARY -> VersionShare(record.version, if (order == null) 0.0 else record.share)
                RolloutStage.PROMOTED -> VersionShare(record.version, 1.0)
                RolloutStage.COMPLETED -> VersionShare(record.version, 1.0, isExclusive = true)
                RolloutStage.ROLLED_BACK -> VersionShare(record.version, 0.0)
            }
        }

        /** Position of a request in [0, 1), the same on each VM. */
        private fun positionOf(requestId: String): Double = (rendezvousWeight("rollout", requestId) ushr 11).toDouble() / (1L shl 53)
    }
}

/** The properties of a server that a roll-out depends on. */
data class VersionedServer(
    val id: String,
    val version: String,
)
