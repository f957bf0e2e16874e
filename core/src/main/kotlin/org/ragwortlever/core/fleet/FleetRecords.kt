/*
 * Records of the fleet in the platform's store: backend servers, the configuration, availability zones that are taken out
 * of service, and the entry VMs' own records.
 */
package org.ragwortlever.core.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.key.sha256Hex
import org.ragwortlever.core.rollout.RolloutOrder
import org.ragwortlever.core.rollout.RolloutRecord
import org.ragwortlever.core.route.RoutingDocument

/** A store entry, or its removal, decoded as an event of the fleet. */
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

    data class PartQuarantined(
        val quarantine: QuarantineRecord,
    ) : FleetRecord

    /** The operators want the traffic of a service moved to another version. */
    data class RolloutOrdered(
        val order: RolloutOrder,
    ) : FleetRecord

    data class RolloutWithdrawn(
        val service: String,
    ) : FleetRecord

    /** The holder of the fleet's duties has decided on a roll-out. */
    data class RolloutDecided(
        val record: RolloutRecord,
    ) : FleetRecord

    data class RolloutForgotten(
        val service: String,
    ) : FleetRecord
}

/**
 * An entry VM that takes requests. Its entry is attached to a lease, so that it expires with the VM.
 *
 * @property address IP address and port for callers.
 * @property incarnation start of the process, in milliseconds since 1970.
 * @property peers IP address and port for other entry VMs; empty if the VM does not relay changes.
 * @property capacity capacity of the VM, in processor cores.
 * @property load load that the VM's callers put on each service, by the service's name.
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
 * Load that one entry VM's callers put on one service.
 *
 * @property prefillSeconds time, in seconds, that one idle model engine needs for the prefill of the prompts that arrive in
 *   one second.
 * @property running number of requests running on the service's servers.
 */
@Serializable
data class ServiceLoad(
    @SerialName("readSeconds")
    val prefillSeconds: Double = 0.0,
    val running: Int = 0,
) {
    operator fun plus(other: ServiceLoad) = ServiceLoad(prefillSeconds + other.prefillSeconds, running + other.running)
}

/** Adds up the loads of several entry VMs, by service. */
fun Iterable<Map<String, ServiceLoad>>.total(): Map<String, ServiceLoad> =
    flatMap { it.entries }.groupBy({ it.key }, { it.value }).mapValues { (_, parts) -> parts.reduce(ServiceLoad::plus) }

/** A crash of a backend server while it ran the requests with [digests]. */
@Serializable
data class CrashRecord(
    val server: String,
    val zone: String,
    val digests: Set<String>,
) {
    fun encode(): String = Json.encodeToString(serializer(), this)
}

/**
 * A prompt part that crashes servers of [service].
 *
 * @property sinceMilliseconds when it was found, in milliseconds since 1970.
 */
@Serializable
data class QuarantineRecord(
    val service: String,
    val part: String,
    val sinceMilliseconds: Long,
) {
    fun encode(): String = Json.encodeToString(serializer(), this)
}

/** Store keys of the entry VMs' records, and their decoding. */
object FleetKeys {
    const val PREFIX: String = "ragwortlever/fleet/"
    private const val NODES = PREFIX + "nodes/"
    private const val CRASHES = PREFIX + "crashes/"
    private const val QUARANTINES = PREFIX + "quarantines/"
    private const val ROLLOUTS = PREFIX + "rollouts/"

    /** Key of the entry VM [name]. */
    fun node(name: String): String = NODES + name

    /** Key of crash report [number] of the entry VM [node]. */
    fun crash(
        node: String,
        number: Long,
    ): String = "$CRASHES$node/$number"

    /** Key of the quarantine of [part] at [service]; a digest, because callers choose the length of [part]. */
    fun quarantine(
        service: String,
        part: String,
    ): String = QUARANTINES + sha256Hex("$service\n$part".toByteArray())

    /** Key of the roll-out of [service]. */
    fun rollout(service: String): String = ROLLOUTS + service

    /** Decodes the store entry [key] with [value]; null if the key is of another kind or the value is malformed. */
    fun decode(
        key: String,
        value: String,
    ): FleetRecord? =
        when {
            key.startsWith(NODES) -> {
                decoded { FleetRecord.NodeRegistered(Json.decodeFromString(NodeRecord.serializer(), value)) }
            }
            key.startsWith(CRASHES) -> {
                decoded { FleetRecord.CrashReported(Json.decodeFromString(CrashRecord.serializer(), value)) }
            }
            key.startsWith(QUARANTINES) -> {
                decoded { FleetRecord.PartQuarantined(Json.decodeFromString(QuarantineRecord.serializer(), value)) }
            }
            key.startsWith(ROLLOUTS) -> {
                decoded { FleetRecord.RolloutDecided(Json.decodeFromString(RolloutRecord.serializer(), value)) }
            }
            else -> {
                null
            }
        }

    /** Returns the record for the removal of [key]; null if no record depends on it. */
    fun removal(key: String): FleetRecord? =
        when {
            key.startsWith(NODES) -> FleetRecord.NodeRemoved(key.removePrefix(NODES))
            key.startsWith(ROLLOUTS) -> FleetRecord.RolloutForgotten(key.removePrefix(ROLLOUTS))
            else -> null
        }

    private fun decoded(read: () -> FleetRecord): FleetRecord? = runCatching(read).getOrNull()
}
