/*
 * Which prefixes the servers are expected to hold: from what this entry VM sent, and from cache events, which arrive
 * late and with gaps.
 */
package org.ragwortlever.core.routing

import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal class PrefixExpectation {
    private val sessions =
        object : LinkedHashMap<String, HashMap<String, Held>>(16, 0.75f, true) {
            override fun removeEldestEntry(eldest: Map.Entry<String, HashMap<String, Held>>): Boolean = size > MAXIMUM_SESSIONS
        }
    private val servers = HashMap<String, CacheHistory>()

    /** The prefix of [session] on each server, or null when none is known. */
    fun ofSession(session: String?): Map<String, Held>? = session?.let { sessions[it] }

    /** Tokens of [held] that [server] is expected to have, of a prompt with [promptTokens]. */
    fun expectedTokens(
        held: Held,
        server: String,
        promptTokens: Int,
        now: Instant,
    ): Int {
        val history = servers[server]
        if (history?.clearedAt?.let { held.at <= it } == true) return 0
        val doubtful = history?.gapAt?.let { held.at <= it } == true || now - held.at > CONFIDENT
        val tokens = minOf(held.tokens, promptTokens)
        return if (doubtful) tokens / 2 else tokens
    }

    /** Our own attempt has left [tokens] of [session] on [server]. */
    fun stored(
        session: String,
        server: String,
        tokens: Int,
        now: Instant,
    ) {
        val held = sessions.getOrPut(session) { HashMap() }
        held[server] = Held(tokens, now)
        if (held.size > MAXIMUM_SERVERS) held.remove(held.minBy { it.value.at }.key)
    }

    /**
     * The server reported that it held [tokens] of [session] at [at] (0: evicted). An event from before our own newer
     * knowledge changes nothing; a skipped [sequence] puts everything older in doubt.
     */
    fun reported(
        server: String,
        session: String,
        tokens: Int,
        sequence: Long,
        at: Instant,
    ) {
        val history = servers.getOrPut(server) { CacheHistory() }
        val last = history.lastSequence
        if (last != null && sequence > last + 1) history.gapAt = at
        if (last == null || sequence > last) history.lastSequence = sequence
        val known = sessions[session]?.get(server)
        if (known != null && known.at > at) return
        if (tokens > 0) stored(session, server, tokens, at) else sessions[session]?.remove(server)
    }

    /** The server has lost its cache. */
    fun cleared(
        server: String,
        now: Instant,
    ) {
        servers.getOrPut(server) { CacheHistory() }.clearedAt = now
    }

    internal class Held(
        val tokens: Int,
        val at: Instant,
    )

    private class CacheHistory {
        var lastSequence: Long? = null
        var gapAt: Instant? = null
        var clearedAt: Instant? = null
    }

    private companion object {
        /** Bounds memory to a few MB on an entry VM. */
        const val MAXIMUM_SESSIONS = 20_000
        const val MAXIMUM_SERVERS = 4

        /** Without other evidence a prefix may have been evicted after this time. */
        val CONFIDENT = 60.seconds
    }
}
