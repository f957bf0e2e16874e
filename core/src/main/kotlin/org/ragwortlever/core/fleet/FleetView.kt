/*
 * The state of the fleet as this node knows it from the store. A configuration is only replaced by a newer version.
 * Entries that expire around an outage of the store, or that the store lacks after it has come back from an older copy, are
 * kept until their owners have had time to write them again.
 */
package org.ragwortlever.core.fleet

import org.ragwortlever.core.backend.ServerCatalog
import org.ragwortlever.core.backend.StoreOutage
import org.ragwortlever.core.rollout.RolloutOrder
import org.ragwortlever.core.rollout.RolloutRecord
import org.ragwortlever.core.route.RoutingDocument
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** The part of the view that changed. */
enum class FleetChange { SERVERS, CONFIGURATION, ZONES, NODES, ROLLOUTS }

/** State of the fleet; not thread-safe, confined to one thread. */
class FleetView {
    /** The announced backend servers. */
    val servers = ServerCatalog()
    private val registered = HashMap<String, NodeRecord>()
    private val lapsed = HashMap<String, Instant>()
    private val lapsedZones = HashMap<String, Instant>()
    private val knownRollouts = KnownRollouts()

    /** The newest configuration; null until one is known. */
    var document: RoutingDocument? = null
        private set

    /** Availability zones that are taken out of service. */
    var zonesTakenOut: Set<String> = emptySet()
        private set

    /** Roll-outs that the operators have ordered, by service. */
    val rolloutOrders: Map<String, RolloutOrder> get() = knownRollouts.orders

    /** Decisions on roll-outs, by service. */
    val rollouts: Map<String, RolloutRecord> get() = knownRollouts.records

    /** Entry VMs that take requests, by name. */
    val nodes: Map<String, NodeRecord> get() = registered

    private val outage = StoreOutage()

    /** Applies one record and returns what changed; null if listeners need not be notified. */
    fun apply(
        record: FleetRecord,
        now: Instant,
    ): FleetChange? {
        when (record) {
            is FleetRecord.ServerAnnounced -> if (!servers.put(record.server, now)) return null
            is FleetRecord.ServerRemoved -> servers.remove(record.id, now)
            is FleetRecord.ConfigurationChanged -> return configure(record.document)
            is FleetRecord.ZoneTakenOut -> takeOut(record.zone)
            is FleetRecord.ZoneBroughtBack -> bringBack(record.zone)
            is FleetRecord.NodeRegistered -> register(record.node)
            is FleetRecord.NodeRemoved -> unregister(record.name, now)
            is FleetRecord.RolloutOrdered -> knownRollouts.order(record.order)
            is FleetRecord.RolloutWithdrawn -> knownRollouts.withdraw(record.service)
            is FleetRecord.RolloutDecided -> knownRollouts.decide(record.record)
            is FleetRecord.RolloutForgotten -> knownRollouts.forget(record.service)
            is FleetRecord.CrashReported, is FleetRecord.PartQuarantined -> return null
        }
        return when (record) {
            is FleetRecord.ServerAnnounced, is FleetRecord.ServerRemoved -> FleetChange.SERVERS
            is FleetRecord.ZoneTakenOut, is FleetRecord.ZoneBroughtBack -> FleetChange.ZONES
            is FleetRecord.RolloutOrdered, is FleetRecord.RolloutWithdrawn,
            is FleetRecord.RolloutDecided, is FleetRecord.RolloutForgotten,
            -> FleetChange.ROLLOUTS
            else -> FleetChange.NODES
        }
    }

    /**
     * Replaces everything with a complete listing of the store, except that the configuration never goes back to an older
     * version.
     *
     * @param isRestored whether the store has come back from an older copy since the last listing. What the copy
     *   lacks is then kept for its grace period.
     */
    fun replaceAll(
        records: List<FleetRecord>,
        now: Instant,
        isRestored: Boolean = false,
    ) {
        if (isRestored) {
            outage.endWithRestore(now)
            servers.markStoreRestored(now)
        }
        servers.replaceAll(records.filterIsInstance<FleetRecord.ServerAnnounced>().map { it.server }, now)
        replaceZones(records.filterIsInstance<FleetRecord.ZoneTakenOut>().mapTo(HashSet()) { it.zone }, now, isRestored)
        knownRollouts.replaceAll(
            records.filterIsInstance<FleetRecord.RolloutOrdered>().associate { it.order.service to it.order },
            records.filterIsInstance<FleetRecord.RolloutDecided>().associate { it.record.service to it.record },
            now,
            isRestored,
        )
        val listed = records.filterIsInstance<FleetRecord.NodeRegistered>().map { it.node }
        registered.keys.filter { name -> listed.none { it.name == name } }.forEach { unregister(it, now) }
        listed.forEach { register(it) }
        records.filterIsInstance<FleetRecord.ConfigurationChanged>().forEach { configure(it.document) }
    }

    /** Records that the store does not answer, so that entries may expire from now on. */
    fun markStoreUnavailable() {
        outage.begin()
        servers.markStoreUnavailable()
    }

    /** Records that the store answers. */
    fun markStoreAvailable(now: Instant) {
        outage.end(now)
        servers.markStoreAvailable(now)
    }

    /** Whether servers or entry VMs are kept although their entries have ended, because of an outage or a restore of the store. */
    val hasKept: Boolean get() = servers.kept.isNotEmpty() || lapsed.isNotEmpty()

    /** When [expire] has something to remove; null if nothing is kept. In the distant future during an outage. */
    val nextExpiry: Instant?
        get() =
            listOfNotNull(
                servers.nextExpiry,
                lapsed.values.minOrNull()?.let { maxOf(it + NODE_RETURN_GRACE_PERIOD, outage.endOf(NODE_RETURN_GRACE_PERIOD)) },
                lapsedZones.values.minOrNull()?.let { it + OPERATOR_RETURN_GRACE_PERIOD },
            ).minOrNull()

    /**
     * Records that the store has served other VMs while it did not answer this one. What this VM has kept since has really
     * ended, unless the store has come back from an older copy. Returns what changed.
     */
    fun dismissOutage(now: Instant): Set<FleetChange> {
        outage.dismiss()
        servers.dismissOutage()
        if (!outage.isRecent(NODE_RETURN_GRACE_PERIOD, now)) lapsed.replaceAll { _, _ -> Instant.DISTANT_PAST }
        return expire(now)
    }

    /** Removes what was not written again in time after an outage or a restore of the store; returns what changed. */
    fun expire(now: Instant): Set<FleetChange> {
        val changes = HashSet<FleetChange>()
        if (servers.expire(now)) changes += FleetChange.SERVERS
        if (knownRollouts.expire(now)) changes += FleetChange.ROLLOUTS
        val zonesBack = lapsedZones.filterValues { now >= it + OPERATOR_RETURN_GRACE_PERIOD }.keys.toSet()
        if (zonesBack.isNotEmpty()) changes += FleetChange.ZONES
        zonesBack.forEach(::bringBack)
        if (outage.isRecent(NODE_RETURN_GRACE_PERIOD, now)) return changes
        val gone = lapsed.filterValues { now >= it + NODE_RETURN_GRACE_PERIOD }.keys.toSet()
        if (gone.isNotEmpty()) changes += FleetChange.NODES
        registered.keys.removeAll(gone)
        lapsed.keys.removeAll(gone)
        return changes
    }

    private fun configure(changed: RoutingDocument): FleetChange? {
        if (changed.version <= (document?.version ?: Long.MIN_VALUE)) return null
        document = changed
        return FleetChange.CONFIGURATION
    }

    private fun takeOut(zone: String) {
        lapsedZones -= zone
        zonesTakenOut += zone
    }

    private fun bringBack(zone: String) {
        lapsedZones -= zone
        zonesTakenOut -= zone
    }

    private fun replaceZones(
        listed: Set<String>,
        now: Instant,
        isRestored: Boolean,
    ) {
        (zonesTakenOut - listed).forEach {
            if (isRestored) {
                lapsedZones[it] = now
            } else if (it !in lapsedZones) {
                bringBack(it)
            }
        }
        listed.forEach(::takeOut)
    }

    private fun register(node: NodeRecord) {
        lapsed.remove(node.name)
        registered[node.name] = node
    }

    private fun unregister(
        name: String,
        now: Instant,
    ) {
        if (outage.isRecent(NODE_RETURN_GRACE_PERIOD, now)) lapsed[name] = now else registered.remove(name)
    }

    private companion object {
        // Live entry VMs write their entries again within this time after the store's recovery.
        val NODE_RETURN_GRACE_PERIOD = 2.seconds

        // The operators write again what a restored store lacks, but how soon is not known.
        val OPERATOR_RETURN_GRACE_PERIOD = 5.seconds
    }
}
