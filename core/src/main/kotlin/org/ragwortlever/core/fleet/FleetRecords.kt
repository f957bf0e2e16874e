/*
 * What the platform's store tells about the fleet: backend servers, the configuration, availability zones that are
 * taken out, and what the entry VMs themselves keep there.
 */
package org.ragwortlever.core.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.route.RoutingDocument

/** One entry of the store in the product's terms. */
sealed interface FleetRecord {
    data class ServerAnnounced(
        val server: BackendServer,
    ) : FleetRecord

    data class ServerRemoved(
        val id: String,
    ) : FleetRecord

    data class ConfigurationChanged(
        val document: RoutingDocument,
    ) : FleetRecord

    data class ZoneTakenOut(
        val zone: String,
    ) : FleetRecord

    data class ZoneBroughtBack(
        val zone: String,
    ) : FleetRecord

    data class NodeRegistered(
        val node: NodeRecord,
    ) : FleetRecord

    data class NodeRemoved(
        val name: String,
    ) : FleetRecord

    data class CrashReported(
        val crash: CrashRecord,
    ) : FleetRecord
}

/**
 * An entry VM that takes requests. The entry hangs on a lease, so that it goes with its VM.
 *
 * @property address where callers connect.
 * @property incarnation start of the process, in milliseconds since 1970.
 * @property peers where other entry VMs connect; empty when it passes nothing on.
 * @property capacity what the VM can bear, in processor cores.
 * @property load what the VM's callers ask of each service, by the service's name.
 */
@Serializable
data class NodeRecord(
    val name: String,
    val incarnation: Long,
    val address: String,
    val zone: String,
    val region: String,
    val capacity: Double = 1.0,
    val peers: String = "",
    val load: Map<String, ServiceLoad> = emptyMap(),
) {
    fun encode(): String = Json.encodeToString(serializer(), this)
}

/**
 * What one entry VM's callers ask of one service.
 *
 * @property prefillSeconds time that one idle model engine would need to read the prompts of one second, in seconds.
 * @property running requests that run on the service's servers.
 */
@Serializable
data class ServiceLoad(
    @SerialName("readSeconds")
    val prefillSeconds: Double = 0.0,
    val running: Int = 0,
) {
    operator fun plus(other: ServiceLoad) = ServiceLoad(prefillSeconds + other.prefillSeconds, running + other.running)
}

/** The loads of several entry VMs together, by service. */
fun Iterable<Map<String, ServiceLoad>>.total(): Map<String, ServiceLoad> =
    flatMap { it.entries }.groupBy({ it.key }, { it.value }).mapValues { (_, parts) -> parts.reduce(ServiceLoad::plus) }

/** A backend server failed under requests with [digests]. */
@Serializable
data class CrashRecord(
    val server: String,
    val zone: String,
    val digests: Set<String>,
) {
    fun encode(): String = Json.encodeToString(serializer(), this)
}

/** Store keys of the fleet. */
object FleetKeys {
    const val PREFIX: String = "ragwortlever/fleet/"
    private const val NODES = PREFIX + "nodes/"
    private const val CRASHES = PREFIX + "crashes/"

    fun node(name: String): String = NODES + name

    fun crash(
        node: String,
        number: Long,
    ): String = "$CRASHES$node/$number"

    /** The record that the entry [key] with [value] holds; null for a key of another kind or a value that can't be read. */
    fun decode(
        key: String,
        value: String,
    ): FleetRecord? =
        when {
            key.startsWith(NODES) -> decoded { FleetRecord.NodeRegistered(Json.decodeFromString(NodeRecord.serializer(), value)) }
            key.startsWith(CRASHES) -> decoded { FleetRecord.CrashReported(Json.decodeFromString(CrashRecord.serializer(), value)) }
            else -> null
        }

    /** The record of the removal of [key]. */
    fun removal(key: String): FleetRecord? = if (key.startsWith(NODES)) FleetRecord.NodeRemoved(key.removePrefix(NODES)) else null

    private fun decoded(read: () -> FleetRecord): FleetRecord? = runCatching(read).getOrNull()
}
