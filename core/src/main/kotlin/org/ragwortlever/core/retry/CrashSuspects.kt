/*
 * Finds requests that crash the servers that run them. A crash counts against every request that ran on the server,
 * unless several servers of the zone failed together; a request is known by its content, whatever id it comes with.
 */
package org.ragwortlever.core.retry

import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Counts crashes by content digest; not thread-safe. An empty digest is never counted. */
class CrashSuspects {
    private val crashesByDigest = HashMap<String, MutableList<ServerCrash>>()
    private val recentByZone = HashMap<String, ArrayDeque<ServerCrash>>()

    /** An attempt with [digest] ended because [server] failed under it. */
    fun recordFailure(
        digest: String,
        server: String,
        zone: String,
        now: Instant,
    ) {
        if (digest.isEmpty()) return
        val crash = findOrAddCrash(server, zone, now)
        if (crash.digests.add(digest)) crashesByDigest.getOrPut(digest) { ArrayList() } += crash
    }

    /** A request with [digest] was answered completely, which clears a first crash. */
    fun recordCompletion(
        digest: String,
        now: Instant,
    ) {
        if (countCrashes(digest, now) < CRASHES_TO_REFUSE) crashesByDigest.remove(digest)
    }

    /** Crashes that count against [digest]. */
    fun countCrashes(
        digest: String,
        now: Instant,
    ): Int {
        val crashes = crashesByDigest[digest] ?: return 0
        crashes.removeAll { now - it.failedAt > RETENTION }
        if (crashes.isEmpty()) crashesByDigest.remove(digest)
        return crashes.count { it.countsAgainst(digest) }
    }

    /** Whether [digest] has crashed a server and has not completed since; such a request runs alone where possible. */
    fun isSuspect(
        digest: String,
        now: Instant,
    ): Boolean = countCrashes(digest, now) > 0

    /** Whether [digest] must not run again. */
    fun isRefused(
        digest: String,
        now: Instant,
    ): Boolean = countCrashes(digest, now) >= CRASHES_TO_REFUSE

    /** The zones where a crash of [digest] could still turn out to be a coincidence; a retry elsewhere tells more. */
    fun findZonesWithRecentCrash(
        digest: String,
        now: Instant,
    ): Set<String> =
        crashesByDigest[digest]
            .orEmpty()
            .filter { now - it.failedAt <= COINCIDENCE_WINDOW }
            .mapTo(HashSet()) { it.zone }

    /** Attempts that end on one server at nearly the same time ended in the same crash. */
    private fun findOrAddCrash(
        server: String,
        zone: String,
        now: Instant,
    ): ServerCrash {
        val recent = recentByZone.getOrPut(zone) { ArrayDeque() }
        while (recent.isNotEmpty() && now - recent.first().failedAt > COINCIDENCE_WINDOW) recent.removeFirst()
        recent.lastOrNull { it.server == server && now - it.failedAt <= SAME_CRASH_WINDOW }?.let { return it }
        val crash = ServerCrash(server, zone, now)
        recent.filter { it.server != server }.forEach { other ->
            other.coinciding += crash
            crash.coinciding += other
        }
        recent.addLast(crash)
        return crash
    }

    private companion object {
        const val CRASHES_TO_REFUSE = 2
        val COINCIDENCE_WINDOW = 2.seconds

        // Resets of one crash reach the entry VM within milliseconds; a server does not restart and crash again in 1 s.
        val SAME_CRASH_WINDOW = 1.seconds
        val RETENTION = 24.hours
    }
}

private class ServerCrash(
    val server: String,
    val zone: String,
    val failedAt: Instant,
) {
    val digests = HashSet<String>()
    val coinciding = ArrayList<ServerCrash>()

    /**
     * A request that moved from one failed server to the other was there both times, which is evidence against it;
     * any other is excused when servers of its zone failed together.
     */
    fun countsAgainst(digest: String): Boolean = coinciding.isEmpty() || coinciding.any { digest in it.digests }
}
