/*
 * What one model engine probably keeps of the prompts that were sent to it. An engine shares its memory between running
 * requests and cached parts and evicts the least recently used parts, so how long a part stays depends on what has been
 * sent since and not on the time alone.
 */
package org.ragwortlever.core.engine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Belongs to one process of an engine and ends with it. Not thread-safe. */
internal class CachedParts {
    private class Entry(
        val tokens: Int,
        val usedAt: Instant,
    )

    private val entries = LinkedHashMap<String, Entry>()

    /** Tokens that the cached parts take. */
    var tokens = 0
        private set

    /** Whether the engine probably keeps the part [id]. */
    fun isCached(
        id: String,
        now: Instant,
    ): Boolean = entries[id]?.let { now - it.usedAt < LIFETIME } ?: false

    /** Records that the engine has got a prompt with the part [id]. */
    fun recordUse(
        id: String,
        tokens: Int,
        now: Instant,
    ) {
        entries.remove(id)?.let { this.tokens -= it.tokens }
        entries[id] = Entry(tokens, now)
        this.tokens += tokens
        if (entries.size > MAX_ENTRIES) removeOldest()
    }

    /** Records that running requests leave only [room] tokens to cached parts: the least recently used ones are gone. */
    fun evictDownTo(room: Int) {
        while (tokens > room && entries.isNotEmpty()) removeOldest()
    }

    private fun removeOldest() {
        val oldest = entries.entries.iterator()
        tokens -= oldest.next().value.tokens
        oldest.remove()
    }

    private companion object {
        // Callers of a conversation return within this time or not soon; the memory of an idle engine keeps parts for longer.
        val LIFETIME: Duration = 30.seconds

        // Bounds this VM's memory; an engine keeps fewer parts of ordinary size.
        const val MAX_ENTRIES = 1000
    }
}
