/*
 * The backend servers known to this node. Announcements expire while the platform's store is unavailable although their
 * servers are alive, so an entry that is removed around an outage is kept until its server has had time to announce
 * itself again. What is known of a server is only replaced by what is newer, however an announcement has come.
 */
package org.ragwortlever.core.backend

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** An announced server and the time at which its slow start ends. */
data class KnownServer(
    val server: BackendServer,
    val coldUntil: Instant,
)

/** Announced servers by id; not thread-safe. */
class ServerCatalog {
    private val servers = HashMap<String, KnownServer>()
    private val missing = HashSet<String>()
    private val ended = EndedServers()
    private val outage = StoreOutage()

    /** Servers that may receive new requests: announced and not draining. */
    val usable: List<KnownServer> get() = servers.values.filterNot { it.server.isDraining }

    /** All announced servers, including draining ones. */
    val all: Collection<KnownServer> get() = servers.values

    /** Ids of the servers that are kept although their announcements have ended, because of an outage of the store. */
    val kept: Set<String> get() = missing.toSet()

    /** Returns the last announcement of server [id], or null if the server is unknown. */
    fun find(id: String): BackendServer? = servers[id]?.server

    /** Adds or replaces the announcement of [server]; returns false if it is older than what is known. */
    fun put(
        server: BackendServer,
        now: Instant,
    ): Boolean = put(server, now, mayBeCopied = false)

    private fun put(
        server: BackendServer,
        now: Instant,
        mayBeCopied: Boolean,
    ): Boolean {
        val known = servers[server.id]?.server
        val isOutdated = known?.supersedes(server) ?: ended.supersede(server, mayBeCopied)
        // An entry exists, so the server is not missing, even if the entry says less than is known.
        missing -= server.id
        if (isOutdated) return false
        ended.forget(server.id)
        servers[server.id] = KnownServer(server, now + server.coldFor)
        return true
    }

    /** Handles the removal of the announcement of [id]; around an outage the server is kept until [expire]. */
    fun remove(
        id: String,
        now: Instant,
    ) {
        val known = servers[id] ?: return
        if (known.server.isDraining || !outage.isRecent(RETURN_GRACE_PERIOD, now)) {
            end(id)
        } else {
            missing += id
        }
    }

    private fun end(id: String) {
        servers.remove(id)?.let { ended.record(it.server) }
        missing -= id
    }

    /**
     * Replaces all announcements with a complete listing of the store, except those that are older than what is known: a store
     * that has come back from an older copy may have them, also of servers that have left since.
     */
    fun replaceAll(
        listed: List<BackendServer>,
        now: Instant,
    ) {
        val ids = listed.mapTo(HashSet()) { it.id }
        servers.keys.filter { it !in ids }.forEach { remove(it, now) }
        val mayBeCopied = outage.isRestoreRecent(COPY_LIFETIME, now)
        listed.forEach { put(it, now, mayBeCopied) }
    }

    /** Records that the store does not answer, so that announcements may expire from now on. */
    fun markStoreUnavailable() = outage.begin()

    /** Records that the store answers. */
    fun markStoreAvailable(now: Instant) = outage.end(now)

    /** Records that the store has come back from an older copy, which may lack announcements of live servers. */
    fun markStoreRestored(now: Instant) = outage.endWithRestore(now)

    /** Records that the store has served others during the last outage; what was kept because of it ends with the next [expire]. */
    fun dismissOutage() = outage.dismiss()

    /** When [expire] has something to remove; null if nothing is kept. */
    val nextExpiry: Instant? get() = if (missing.isEmpty()) null else outage.endOf(RETURN_GRACE_PERIOD)

    /** Removes servers that did not announce themselves again in time; returns whether any was removed. */
    fun expire(now: Instant): Boolean {
        if (missing.isEmpty() || outage.isRecent(RETURN_GRACE_PERIOD, now)) return false
        missing.toList().forEach(::end)
        return true
    }

    private companion object {
        // The platform guarantees that live servers announce themselves again within about two seconds of the store's recovery.
        val RETURN_GRACE_PERIOD: Duration = 2.5.seconds

        // The platform removes an entry of a copy after three heartbeat intervals of silence.
        val COPY_LIFETIME: Duration = 4.seconds
    }
}
