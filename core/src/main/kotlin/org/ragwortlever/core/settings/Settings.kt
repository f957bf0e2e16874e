// Settings of one daemon process, read from a JSON file with comments.
package org.ragwortlever.core.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.ragwortlever.core.json.DocumentError
import org.ragwortlever.core.json.LocatedJson
import org.ragwortlever.core.json.decodeChecked
import java.net.URI

/**
 * Settings of a daemon.
 *
 * @property nodeId name of this entry VM, unique among the running ones.
 * @property address IP address of this entry VM for callers, operators and other entry VMs.
 * @property zone availability zone of this entry VM.
 * @property region region of this entry VM.
 * @property platform base URL of the platform's services.
 * @property callerPort port for callers; 0 for an ephemeral port.
 * @property operatorPort port for operators; 0 for an ephemeral port.
 * @property peerPort port for other entry VMs; 0 for an ephemeral port.
 */
@Serializable
data class Settings(
    val nodeId: String,
    val address: String,
    val zone: String,
    val region: String,
    val platform: String,
    val callerPort: Int = 8080,
    val operatorPort: Int = 9090,
    val peerPort: Int = 7070,
    val logLevel: LogLevel = LogLevel.INFO,
    val http: HttpSettings = HttpSettings(),
    val drain: DrainSettings = DrainSettings(),
)

/** Minimum level of the events that are logged. */
@Serializable
enum class LogLevel {
    @SerialName("error")
    ERROR,

    @SerialName("warn")
    WARN,

    @SerialName("info")
    INFO,

    @SerialName("debug")
    DEBUG,
}

/**
 * Limits on callers.
 *
 * @property headerBytes maximum total size of the request headers, in bytes.
 * @property bodyBytes maximum size of the request body, in bytes.
 * @property idleSeconds maximum time for which a connection may be idle between requests, in seconds.
 * @property workerThreads maximum number of requests that this entry VM handles concurrently.
 * @property connections maximum number of open connections of callers; 0 for as many as memory and descriptors allow.
 * @property requestBytes maximum number of bytes that all unanswered requests hold together; 0 for a sixth of the heap.
 */
@Serializable
data class HttpSettings(
    val headerBytes: Int = 32 * 1024,
    val bodyBytes: Long = 8L * 1024 * 1024,
    val idleSeconds: Int = 60,
    val workerThreads: Int = 256,
    val connections: Int = 0,
    val requestBytes: Long = 0,
)

/**
 * Settings of the graceful shutdown.
 *
 * @property entryVmMaxAgeSeconds maximum time for which callers may cache a response of `/v1/entry-vms`, in seconds.
 * @property streamSeconds maximum wait for the end of a running answer, in seconds.
 */
@Serializable
data class DrainSettings(
    val entryVmMaxAgeSeconds: Int = 10,
    val streamSeconds: Int = 3600,
)

/** Parses and validates settings. The error lists every fault with line, path and rule. */
fun parseSettings(text: String): Result<Settings, List<DocumentError>> {
    val (settings, located) = decodeChecked(text, Settings.serializer()).getOrElse { return Err(it) }
    val faults = settings.faults(located)
    return if (faults.isEmpty()) Ok(settings) else Err(faults)
}

private fun Settings.faults(located: LocatedJson): List<DocumentError> =
    listOfNotNull(
        located.faultUnless("$.nodeId", NODE_ID.matches(nodeId), "must be 1 to 64 letters, digits, dots or dashes"),
        located.faultUnless("$.address", IP_ADDRESS.matches(address), "must be an IP address"),
        located.faultUnless("$.zone", zone.isNotBlank(), "must not be blank"),
        located.faultUnless("$.region", region.isNotBlank(), "must not be blank"),
        located.faultUnless("$.platform", platform.isHttpUrl(), "must be a URL with http or https and a host"),
        located.faultUnless("$.callerPort", callerPort in PORTS, PORT_RULE),
        located.faultUnless("$.operatorPort", operatorPort in PORTS, PORT_RULE),
        located.faultUnless("$.peerPort", peerPort in PORTS, PORT_RULE),
        located.faultUnless("$.http.headerBytes", http.headerBytes in 1024..1024 * 1024, "must be from 1024 to 1048576"),
        located.faultUnless("$.http.bodyBytes", http.bodyBytes in 1..MAXIMUM_BODY_BYTES, "must be from 1 to $MAXIMUM_BODY_BYTES"),
        located.faultUnless("$.http.idleSeconds", http.idleSeconds in 1..3600, "must be from 1 to 3600"),
        located.faultUnless("$.http.workerThreads", http.workerThreads in 4..4096, "must be from 4 to 4096"),
        located.faultUnless("$.http.connections", http.connections >= 0, "must not be negative"),
        located.faultUnless("$.http.requestBytes", http.requestBytes >= 0, "must not be negative"),
        located.faultUnless("$.drain.entryVmMaxAgeSeconds", drain.entryVmMaxAgeSeconds in 1..600, "must be from 1 to 600"),
        located.faultUnless("$.drain.streamSeconds", drain.streamSeconds > 0, "must be positive"),
    )

private fun LocatedJson.faultUnless(
    path: String,
    holds: Boolean,
    rule: String,
): DocumentError? = if (holds) null else errorAt(path, rule)

private fun String.isHttpUrl(): Boolean =
    runCatching { URI(this) }.getOrNull()?.let { it.scheme in setOf("http", "https") && it.host != null } ?: false

private val NODE_ID = Regex("[A-Za-z0-9.-]{1,64}")
private val IP_ADDRESS = Regex("[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:]+")
private val PORTS = 0..65535
private const val PORT_RULE = "must be from 0 to 65535"
private const val MAXIMUM_BODY_BYTES = 64L * 1024 * 1024
