// What an entry VM needs of a platform, and what it tells the platform's endpoints of itself.
package org.ragwortlever.daemon.fleet

import org.ragwortlever.core.fleet.NodeRecord
import org.ragwortlever.core.settings.FleetSettings
import org.ragwortlever.daemon.gateway.RoutedHeaderNames
import org.ragwortlever.daemon.platform.ChangeFeed
import org.ragwortlever.daemon.platform.KeyValueStore
import org.ragwortlever.daemon.role.DutyPorts
import org.ragwortlever.http.HttpListener

/** State of an entry VM for endpoints that report it. */
interface NodeStatus {
    /** Whether this VM accepts requests: it has a configuration and is not draining. */
    val isReady: Boolean

    /** Returns at most [limit] entry VMs that [caller] may use. */
    fun entryVms(
        caller: String,
        limit: Int,
    ): List<NodeRecord>
}

/**
 * Adapters to the platform.
 *
 * @property duties null if this VM takes no fleet-wide duties.
 * @property listeners creates the HTTP listeners of the platform, in addition to the one for callers.
 */
class PlatformPorts(
    val store: KeyValueStore,
    val feed: ChangeFeed,
    val decoder: FleetDecoder,
    val headers: RoutedHeaderNames,
    val duties: DutyPorts?,
    val listeners: (FleetSettings, NodeStatus) -> List<HttpListener>,
)
