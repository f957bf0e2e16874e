/*
 * The fleet as this node knows it from the store. Configurations only move forward; entries that lapse around an
 * outage of the store are kept until their owners had time to write them again.
 */
package org.ragwortlever.core.fleet

import org.ragwortlever.core.backend.ServerCatalog
import org.ragwortlever.core.backend.StoreOutage
import org.ragwortlever.core.route.RoutingDocument
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** What a change of the view concerns. */
enum class FleetChange { SERVERS, CONFIGURATION, ZONES, NODES }

/** Owned by one thread. */
class FleetView {
    val servers = ServerCatalog()
    private val registered = HashMap<String, NodeRecord>()
    private val lapsed = HashMap<String, Instant>()

    var document: RoutingDocument? = null
        private set

    var zonesTakenOut: Set<String> = emptySet()
        private set

    /** Entry VMs that take requests, by name. */
    val nodes: Map<String, NodeRecord> get() = registered

    private val outage = StoreOutage()

    /** Applies one record; null when nothing changed that others must know. */
    fun apply(
        record: FleetRecord,
        now: Instant,
    ): FleetChange? {
        when (record) {
            is FleetRecord.ServerAnnounced -> servers.put(record.server, now)
            is FleetRecord.ServerRemoved -> servers.remove(record.id, now)
            is FleetRecord.ConfigurationChanged -> return configure(record.document)
            is FleetRecord.ZoneTakenOut -> zonesTakenOut += record.zone
            is FleetRecord.ZoneBroughtBack -> zonesTakenOut -= record.zone
            is FleetRecord.NodeRegistered -> register(record.node)
            is FleetRecord.NodeRemoved -> unregister(record.name, now)
            is FleetRecord.CrashReported -> return null
        }
        return when (record) {
            is FleetRecord.ServerAnnounced, is FleetRecord.ServerRemoved -> FleetChange.SERVERS
            is FleetRecord.ZoneTakenOut, is FleetRecord.ZoneBroughtBack -> FleetChange.ZONES
            else -> FleetChange.NODES
        }
    }

    /** Replaces everything but the configuration, which never goes back, by a whole listing of the store. */
    fun replaceAll(
        records: List<FleetRecord>,
        now: Instant,
    ) {
        servers.replaceAll(records.filterIsInstance<FleetRecord.ServerAnnounced>().map { it.server }, now)
        zonesTakenOut = records.filterIsInstance<FleetRecord.ZoneTakenOut>().mapTo(HashSet()) { it.zone }
        val listed = records.filterIsInstance<FleetRecord.NodeRegistered>().map { it.node }
        registered.keys.filter { name -> listed.none { it.name == name } }.forEach { unregister(it, now) }
        listed.forEach { register(it) }
        records.filterIsInstance<FleetRecord.ConfigurationChanged>().forEach { configure(it.document) }
    }

    fun markStoreUnavailable() {
        outage.begin()
        servers.markStoreUnavailable()
    }

    fun markStoreAvailable(now: Instant) {
        outage.end(now)
        servers.markStoreAvailable(now)
    }

    /** Forgets what did not come back in time after an outage. */
    fun expire(now: Instant): Set<FleetChange> {
        val changes = HashSet<FleetChange>()
        if (servers.expire(now)) changes += FleetChange.SERVERS
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
        // Live entry VMs write their entries again within this time after the store has come back.
        val NODE_RETURN_GRACE_PERIOD = 2.seconds
    }
}
