/*
 * Detects requests that crash the servers that run them. A crash counts against every request that ran on the server,
 * unless several servers of the zone failed together. Requests are identified by their content, not by their id.
 */
package org.ragwortlever.core.retry

import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Counts crashes by content digest; not thread-safe. An empty digest is never counted. */
class CrashSuspects {
    private val crashesByDigest = HashMap<String, MutableList<ServerCrash>>()
    private val recentByZone = HashMap<String, ArrayDeque<ServerCrash>>()

    /**
     * Records that the server process [process] crashed while it ran requests with [digests]. Counts once for each digest,
     * whoever reports the crash and however often.
     */
    fun recordCrash(
        process: String,
        zone: String,
        digests: Set<String>,
        now: Instant,
    ) = digests
        .filter { digest -> crashesByDigest[digest].orEmpty().none { it.server == process } }
        .forEach { recordFailure(it, process, zone, now) }

    /** Records that an attempt with [digest] ended because [server] in [zone] failed. */
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

    /** Records a complete answer to a request with [digest], which clears its first crash. */
    fun recordCompletion(
        digest: String,
        now: Instant,
    ) {
        if (countCrashes(digest, now) < CRASHES_TO_REFUSE) crashesByDigest.remove(digest)
    }

    /** Number of crashes in the last 24 hours that count against [digest]. */
    fun countCrashes(
        digest: String,
        now: Instant,
    ): Int {
        val crashes = crashesByDigest[digest] ?: return 0
        crashes.removeAll { now - it.failedAt > RETENTION }
        if (crashes.isEmpty()) crashesByDigest.remove(digest)
        return crashes.count { it.countsAgainst(digest) }
    }

    /** Whether [digest] has crashed a server and hasn't completed since; such a request runs alone where possible. */
    fun isSuspect(
        digest: String,
        now: Instant,
    ): Boolean = countCrashes(digest, now) > 0

    /** Whether [digest] must not run again. */
    fun isRefused(
        digest: String,
        now: Instant,
    ): Boolean = countCrashes(digest, now) >= CRASHES_TO_REFUSE

    /**
     * Zones where [digest] crashed a server within the last two seconds. Another failure there could still excuse the
     * crash, so a retry in another zone is better evidence.
     */
    fun findZonesWithRecentCrash(
        digest: String,
        now: Instant,
    ): Set<String> =
        crashesByDigest[digest]
            .orEmpty()
            .filter { now - it.failedAt <= COINCIDENCE_WINDOW }
            .mapTo(HashSet()) { it.zone }

    /** Returns the crash of [server] within the last second or records a new one; attempts that end together share it. */
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

        // The connection resets of one crash arrive within milliseconds, and no server restarts and crashes again within 1 s.
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
     * A crash doesn't count if other servers of the zone failed at about the same time, except against a request that
     * also ran on one of them.
     */
    fun countsAgainst(digest: String): Boolean = coinciding.isEmpty() || coinciding.any { digest in it.digests }
}
