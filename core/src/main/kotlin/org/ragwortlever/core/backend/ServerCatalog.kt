/*
 * The backend servers that are known to this node. Announcements lapse while the platform's store is away although
 * their servers live, so an entry that vanishes around an outage is kept until its server had time to come back.
 */
package org.ragwortlever.core.backend

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** An announced server and when it stops being cold. */
data class KnownServer(
    val server: BackendServer,
    val coldUntil: Instant,
)

/** Announcements by server id; not thread-safe. */
class ServerCatalog {
    private val servers = HashMap<String, KnownServer>()
    private val missing = HashSet<String>()
    private val outage = StoreOutage()

    /** Servers that may get new requests: announced and not draining. */
    val usable: List<KnownServer> get() = servers.values.filterNot { it.server.isDraining }

    /** Servers that are announced, also those that drain. */
    val all: Collection<KnownServer> get() = servers.values

    /** The last announcement of [id]. */
    fun find(id: String): BackendServer? = servers[id]?.server

    fun put(
        server: BackendServer,
        now: Instant,
    ) {
        missing -= server.id
        servers[server.id] = KnownServer(server, now + server.coldFor)
    }

    /** The announcement of [id] has gone. */
    fun remove(
        id: String,
        now: Instant,
    ) {
        val known = servers[id] ?: return
        if (known.server.isDraining || !outage.isRecent(RETURN_GRACE_PERIOD, now)) {
            servers.remove(id)
            missing -= id
        } else {
            missing += id
        }
    }

    /** Replaces everything by a whole listing of the store. */
    fun replaceAll(
        listed: List<BackendServer>,
        now: Instant,
    ) {
        val ids = listed.mapTo(HashSet()) { it.id }
        servers.keys.filter { it !in ids }.forEach { remove(it, now) }
        listed.forEach { put(it, now) }
    }

    /** The store does not answer; announcements may lapse from here on. */
    fun markStoreUnavailable() = outage.begin()

    /** The store answers. */
    fun markStoreAvailable(now: Instant) = outage.end(now)

    /** Forgets servers whose announcements did not come back; returns whether any was forgotten. */
    fun expire(now: Instant): Boolean {
        if (missing.isEmpty() || outage.isRecent(RETURN_GRACE_PERIOD, now)) return false
        servers.keys.removeAll(missing)
        missing.clear()
        return true
    }

    private companion object {
        // The platform promises that live servers announce themselves again within about two seconds of the store's return.
        val RETURN_GRACE_PERIOD: Duration = 2.5.seconds
    }
}
