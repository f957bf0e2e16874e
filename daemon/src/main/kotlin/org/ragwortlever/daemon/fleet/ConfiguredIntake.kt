// The intake limits of an entry VM, from its settings and the configuration in use.
package org.ragwortlever.daemon.fleet

import org.ragwortlever.core.intake.IntakeLimits
import org.ragwortlever.core.route.CallerLimits
import org.ragwortlever.core.settings.FleetSettings
import org.ragwortlever.http.maxDescriptors

/** @param configured limits of the configuration in use; null until one has been read. */
internal class ConfiguredIntake(
    private val settings: FleetSettings,
    private val configured: () -> CallerLimits?,
) {
    @Volatile
    private var last = DEFAULT to toIntake(DEFAULT)

    fun current(): IntakeLimits {
        val limits = configured() ?: DEFAULT
        if (last.first !== limits) last = limits to toIntake(limits)
        return last.second
    }

    private fun toIntake(limits: CallerLimits): IntakeLimits {
        val derived = IntakeLimits.of(Runtime.getRuntime().maxMemory(), maxDescriptors, limits.bodyBytes)
        return derived.copy(
            connections = settings.http.connections.takeIf { it > 0 } ?: derived.connections,
            bytes = settings.http.requestBytes.takeIf { it > 0 } ?: derived.bytes,
            idleTimeout = limits.idleTimeout,
            headTimeout = limits.headerTimeout * HEAD_TIMEOUT_MARGIN,
        )
    }

    private companion object {
        val DEFAULT = CallerLimits()

        // A sound caller's head can be late by as much as its link holds packets back.
        const val HEAD_TIMEOUT_MARGIN = 4
    }
}
