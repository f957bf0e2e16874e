// Log lines on what this VM believes of the backend servers; docs/OPERATIONS.md explains them.
package org.ragwortlever.daemon.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.backend.ServerCatalog
import org.ragwortlever.core.log.eventLine

/** What made this VM look at the backend servers again. */
internal enum class ServerLogCause {
    CHANGE,
    LISTING,
    EXPIRY,
    ;

    val label = name.lowercase()
}

/** Logs how the servers of [catalog] differ from those at the last call. Not thread-safe. */
internal class ServerLog(
    private val catalog: ServerCatalog,
) {
    private data class Logged(
        val incarnation: Long,
        val isDraining: Boolean,
        val isKept: Boolean,
    )

    private var logged = emptyMap<String, Logged>()

    /**
     * Logs servers that are new, drain, have ended or are kept without an entry. Other announcements do not affect routing.
     */
    fun logChanges(cause: ServerLogCause) {
        val kept = catalog.kept
        val current =
            catalog.all.associate { known -> known.server.run { id to Logged(incarnation, isDraining, isKept = id in kept) } }
        if (current == logged) return
        catalog.all.forEach { logIfChanged(it.server, current.getValue(it.server.id), cause) }
        (logged.keys - current.keys).forEach { logger.info { eventLine("server-gone", "server" to it, "by" to cause.label) } }
        logged = current
    }

    private fun logIfChanged(
        server: BackendServer,
        now: Logged,
        cause: ServerLogCause,
    ) {
        val before = logged[server.id]
        if (before?.incarnation != now.incarnation || before.isDraining != now.isDraining) logAnnounced(server, cause)
        val wasKept = before?.isKept == true
        if (now.isKept && !wasKept) logger.info { eventLine("server-kept", "server" to server.id, "by" to cause.label) }
        if (wasKept && !now.isKept) logger.info { eventLine("server-back", "server" to server.id, "by" to cause.label) }
    }

    private fun logAnnounced(
        server: BackendServer,
        cause: ServerLogCause,
    ) = logger.info {
        eventLine(
            "server-announced",
            "server" to server.id,
            "service" to server.service,
            "zone" to server.zone,
            "address" to server.address,
            "draining" to server.isDraining,
            "spot" to server.isSpot,
            "cold-ms" to server.coldFor.inWholeMilliseconds,
            "incarnation" to server.incarnation,
            "sequence" to server.sequence,
            "by" to cause.label,
        )
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
