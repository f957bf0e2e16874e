// The usage that one node has counted and not yet flushed for good, and the copies that it holds for its peers.
package org.ragwortlever.core.usage

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** How often counts are copied to a peer in another availability zone. */
val COPY_INTERVAL: Duration = 200.milliseconds

/** Flush interval of each node, so that a fleet of [nodes] writes at most 20 values a second. */
fun flushInterval(nodes: Int): Duration = maxOf(5.seconds, nodes.seconds / 20)

/** Message to the holder of a copy: the changed parts of [source], and the windows that it still needs copies of. */
@Serializable
data class UsageCopy(
    val source: String,
    val sequence: Long,
    val parts: Map<String, UsagePart>,
    val needed: Set<String>,
)

/**
 * Usage counted by [source].
 *
 * @property sequence number of counts so far; each part carries the sequence of its last count.
 * @property flushedSequences sequence of each part that the store has.
 * @property storedRevisions revision of each part that was written last; the next write needs no read before it.
 */
data class UsageLedger(
    val source: String,
    val sequence: Long = 0,
    val parts: Map<String, UsagePart> = emptyMap(),
    val flushedSequences: Map<String, Long> = emptyMap(),
    val windowLength: Duration = UsageWindow.DEFAULT_LENGTH,
    val storedRevisions: Map<String, Long> = emptyMap(),
) {
    fun record(
        account: String,
        counts: UsageCounts,
        now: Instant,
    ): UsageLedger {
        val window = UsageWindow.containing(now, windowLength).name
        val before = parts[window]?.counts.orEmpty()
        val part = UsagePart(sequence + 1, before.plusCounts(mapOf(account to counts)))
        return copy(sequence = sequence + 1, parts = parts + (window to part))
    }

    /** What to send to the peer that has everything up to [acknowledged], or null if it lacks nothing. */
    fun copySince(acknowledged: Long): UsageCopy? {
        if (acknowledged >= sequence) return null
        return UsageCopy(source, sequence, parts.filterValues { it.sequence > acknowledged }, parts.keys)
    }

    /** Flushes that are due, oldest window first. */
    fun dueFlushes(): List<UsageFlush> =
        parts
            .filter { (window, part) -> part.sequence > (flushedSequences[window] ?: 0) }
            .toSortedMap()
            .map { (window, part) ->
                UsageFlush(window, source, part, FlushStage.WRITE_OPEN, storedRevision = storedRevisions[window] ?: 0)
            }

    /** Notes that [flush] is done, and forgets windows that have ended and are flushed. */
    fun markFlushed(
        flush: UsageFlush,
        now: Instant,
    ): UsageLedger {
        val marked = flushedSequences + (flush.window to maxOf(flush.part.sequence, flushedSequences[flush.window] ?: 0))
        val kept =
            parts.filter { (window, part) -> UsageWindow.parse(window, windowLength).end > now || part.sequence > (marked[window] ?: 0) }
        val written = storedRevisions + (flush.window to flush.storedRevision)
        return copy(parts = kept, flushedSequences = marked.filterKeys { it in kept }, storedRevisions = written.filterKeys { it in kept })
    }
}

/** Copies that this node holds, by source. The holder flushes the copy of a source that has died, under its name. */
data class UsageCopies(
    val bySource: Map<String, Map<String, UsagePart>> = emptyMap(),
) {
    /** Takes [copy] in; parts are merged by sequence, so repeats and reordering do no harm. */
    fun merge(copy: UsageCopy): UsageCopies {
        val held = bySource[copy.source].orEmpty().filterKeys { it in copy.needed }
        val newer = copy.parts.filter { (window, part) -> part.sequence > (held[window]?.sequence ?: 0) }
        return UsageCopies(bySource + (copy.source to held + newer))
    }

    fun flushes(source: String): List<UsageFlush> =
        bySource[source].orEmpty().toSortedMap().map { (window, part) -> UsageFlush(window, source, part) }

    /** Forgets a copy that is flushed. */
    fun removeFlushed(flush: UsageFlush): UsageCopies {
        val rest = bySource[flush.source].orEmpty().filterNot { (window, part) -> window == flush.window && part == flush.part }
        return UsageCopies(if (rest.isEmpty()) bySource - flush.source else bySource + (flush.source to rest))
    }
}
