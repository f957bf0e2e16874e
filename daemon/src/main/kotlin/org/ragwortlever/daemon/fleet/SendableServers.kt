/*
 * The backend servers that may get requests by what this VM has read last. Traffic threads ask immediately before they
 * send, because a server can have left, or its zone or version been taken out, since the dispatcher chose it.
 */
package org.ragwortlever.daemon.fleet

import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.backend.KnownServer
import org.ragwortlever.core.rollout.VersionShare

/** Written by one thread, read by any. */
internal class SendableServers {
    /** Start of the usable servers' processes, by id. */
    @Volatile
    private var incarnations: Map<String, Long> = emptyMap()

    /** Availability zones whose servers must not get new requests. */
    @Volatile
    var zonesTakenOut: Set<String> = emptySet()

    /** What versions under roll-out get, by service. */
    @Volatile
    var versionShares: Map<String, VersionShare> = emptyMap()

    fun replace(usable: List<KnownServer>) {
        incarnations = usable.associate { it.server.id to it.server.incarnation }
    }

    /** Whether [server], which was usable when it was chosen, still is. */
    fun contains(server: BackendServer): Boolean =
        incarnations[server.id] == server.incarnation && server.zone !in zonesTakenOut &&
            versionShares[server.service]?.allows(server.version) != false
}
