// Settings of an entry VM on a platform whose store lists the backend servers and holds the configuration.
package org.ragwortlever.core.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.Serializable
import org.ragwortlever.core.json.DocumentError
import org.ragwortlever.core.json.decodeChecked

/**
 * Settings of one entry VM. [callers], [readiness], [entryVms], [store] and [duties] have the form IP address:port.
 *
 * @property nodeId name of this entry VM, unique among the running ones.
 * @property callers listening address for callers.
 * @property readiness listening address for the readiness checks of the platform.
 * @property entryVms listening address where callers ask which entry VMs to use.
 * @property peerPort port for other entry VMs, on [address]; 0 for none.
 * @property metricsPort port of the metrics, on [address]; 0 for none.
 * @property store address of the platform's store.
 * @property processorShare fraction of each of its [processors] that this VM may use.
 * @property duties address that accepts usage reports and orders for backend servers; empty for none.
 */
@Serializable
data class FleetSettings(
    val nodeId: String,
    val address: String,
    val zone: String,
    val region: String,
    val callers: String,
    val readiness: String,
    val entryVms: String,
    val peerPort: Int = 0,
    val metricsPort: Int = 0,
    val store: String,
    val duties: String = "",
    val processorShare: Double = 1.0,
    val processors: Int = 1,
    val http: HttpSettings = HttpSettings(),
    val bounds: BoundSettings = BoundSettings(),
)

/**
 * Limits that the platform sets for all entry VMs together.
 *
 * @property gracePeriodSeconds time from SIGTERM until the platform kills the process, in seconds.
 * @property entryVmMaxAgeSeconds maximum time for which callers cache the list of entry VMs, in seconds.
 * @property retryRatio maximum retries per request at one service within [retryWindowSeconds].
 * @property retryExtra retries beyond that ratio within the same window.
 * @property leaseSeconds lease duration: time after which another VM may take over a duty, in seconds.
 * @property usageWindowSeconds length of a usage window, in seconds.
 * @property usageDueSeconds time after the end of a window by which its usage has to be reported, in seconds.
 */
@Serializable
data class BoundSettings(
    val gracePeriodSeconds: Double = 8.0,
    val entryVmMaxAgeSeconds: Double = 5.0,
    val retryRatio: Double = 0.2,
    val retryExtra: Double = 50.0,
    val retryWindowSeconds: Double = 10.0,
    val leaseSeconds: Double = 3.0,
    val usageWindowSeconds: Double = 60.0,
    val usageDueSeconds: Double = 60.0,
)

/** Parses and validates settings. The error lists every fault with line, path and rule. */
fun parseFleetSettings(text: String): Result<FleetSettings, List<DocumentError>> {
    val (settings, located) = decodeChecked(text, FleetSettings.serializer()).getOrElse { return Err(it) }
    val addresses =
        mapOf("callers" to settings.callers, "readiness" to settings.readiness, "entryVms" to settings.entryVms, "store" to settings.store)
    val faults =
        addresses.filterValues { !ADDRESS.matches(it) }.map { (name, _) -> located.errorAt("$.$name", "must be IP address:port") } +
            listOfNotNull(
                located.errorAt("$.nodeId", "must not be blank").takeIf { settings.nodeId.isBlank() },
                located.errorAt("$.duties", "must be IP address:port or empty").takeIf {
                    settings.duties.isNotEmpty() &&
                        !ADDRESS.matches(settings.duties)
                },
                located.errorAt("$.peerPort", "must be from 0 to 65535").takeIf { settings.peerPort !in 0..65535 },
                located.errorAt("$.processorShare", "must be positive").takeIf { settings.processorShare <= 0 },
                located.errorAt("$.processors", "must be positive").takeIf { settings.processors <= 0 },
                located.errorAt("$.http.connections", "must not be negative").takeIf { settings.http.connections < 0 },
                located.errorAt("$.http.requestBytes", "must not be negative").takeIf { settings.http.requestBytes < 0 },
                located.errorAt("$.metricsPort", "must be from 0 to 65535").takeIf { settings.metricsPort !in 0..65535 },
                located.errorAt("$.bounds.gracePeriodSeconds", "must be positive").takeIf { settings.bounds.gracePeriodSeconds <= 0 },
                located.errorAt("$.bounds.leaseSeconds", "must be at least 1").takeIf { settings.bounds.leaseSeconds < 1 },
                located.errorAt("$.bounds.usageWindowSeconds", "must be at least 1").takeIf { settings.bounds.usageWindowSeconds < 1 },
            )
    return if (faults.isEmpty()) Ok(settings) else Err(faults)
}

private val ADDRESS = Regex("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}")
