// Immutable snapshot of one revision of the configuration document, indexed for lookups on the request path.
package org.ragwortlever.core.configuration

/** An active revision of the configuration. Revisions only increase. */
class ConfigurationSnapshot(
    val revision: Long,
    val document: ConfigurationDocument,
) {
    private val accountsByKeyHash: Map<String, String> =
        document.keys.values
            .filterNot { it.withdrawn }
            .associate { it.sha256 to it.account }

    /** Returns the id of the account that owns the key with [keyHash]; null when the key is unknown or withdrawn. */
    fun accountOfKey(keyHash: String): String? = accountsByKeyHash[keyHash]

    /** Returns the backend servers that may get new requests of [requestClass] for [model], by id. */
    fun serversFor(
        requestClass: String,
        model: String,
    ): Map<String, BackendServer> {
        val allowedZones = document.classes[requestClass]?.zones.orEmpty()
        return document.backendServers.filterValues { server ->
            model in server.models &&
                !server.leaving &&
                document.zones[server.zone]?.state == ZoneState.IN_SERVICE &&
                (allowedZones.isEmpty() || server.zone in allowedZones)
        }
    }

    companion object {
        /** The snapshot before any configuration has been read. */
        val EMPTY: ConfigurationSnapshot = ConfigurationSnapshot(0, ConfigurationDocument())
    }
}
