/*
 * Servers that have said that they take nothing new, as the threads that send see them. The dispatcher knows the same a
 * moment later, but a decision that it has made before may be carried out after.
 */
package org.ragwortlever.daemon.gateway

import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.backend.ServerNotice
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Instant

/** Thread-safe. */
internal class UnavailableServers {
    private data class Process(
        val server: String,
        val incarnation: Long,
    )

    private val unavailableUntil = ConcurrentHashMap<Process, Instant>()

    fun record(
        server: BackendServer,
        notice: ServerNotice,
        now: Instant,
    ) {
        val until = if (notice.isLeaving) Instant.DISTANT_FUTURE else now + (notice.quietFor ?: return)
        unavailableUntil.merge(server.process, until, ::maxOf)
        if (unavailableUntil.size > CLEANUP_THRESHOLD) unavailableUntil.values.removeIf { it <= now }
    }

    fun isUnavailable(
        server: BackendServer,
        now: Instant,
    ): Boolean = now < (unavailableUntil[server.process] ?: Instant.DISTANT_PAST)

    private val BackendServer.process get() = Process(id, incarnation)

    private companion object {
        // More than a fleet has servers; those that left long ago are few.
        const val CLEANUP_THRESHOLD = 4096
    }
}
