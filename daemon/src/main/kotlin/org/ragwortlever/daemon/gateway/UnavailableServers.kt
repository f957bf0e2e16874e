/*
 * Backend servers that announced that they accept no new requests, checked by traffic threads right before they send.
 * The dispatcher learns of a notice slightly later, and a decision that it made before may still be carried out.
 */
package org.ragwortlever.daemon.gateway

import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.backend.ServerNotice
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Instant

/**
 * Remembers server processes that refuse new requests, until their announced time is over. Thread-safe.
 *
 * @param isSendable whether a server may still get requests by what this VM has read last.
 */
internal class UnavailableServers(
    private val isSendable: (BackendServer) -> Boolean = { true },
) {
    private data class Process(
        val server: String,
        val incarnation: Long,
    )

    private val unavailableUntil = ConcurrentHashMap<Process, Instant>()

    /** Marks [server] as unavailable: for good if it is leaving, else for the quiet time of [notice], if it has one. */
    fun record(
        server: BackendServer,
        notice: ServerNotice,
        now: Instant,
    ) {
        val until = if (notice.isLeaving) Instant.DISTANT_FUTURE else now + (notice.quietFor ?: return)
        unavailableUntil.merge(server.process, until, ::maxOf)
        if (unavailableUntil.size > CLEANUP_THRESHOLD) unavailableUntil.values.removeIf { it <= now }
    }

    /** Whether a request that ends at [deadline] may be sent to [server] at [now], which can be long after the decision. */
    fun maySend(
        server: BackendServer,
        deadline: Instant,
        now: Instant,
    ): Boolean = now < deadline && !isUnavailable(server, now) && isSendable(server)

    /** Whether the process of [server] accepts no new requests at [now]. */
    fun isUnavailable(
        server: BackendServer,
        now: Instant,
    ): Boolean = now < (unavailableUntil[server.process] ?: Instant.DISTANT_PAST)

    private val BackendServer.process get() = Process(id, incarnation)

    private companion object {
        // Expired entries are removed above this size. A fleet has fewer servers, and entries of servers that left, which never
        // expire, are few.
        const val CLEANUP_THRESHOLD = 4096
    }
}
