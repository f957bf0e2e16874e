// Usage that a node has counted and not yet flushed completely, and the copies that it holds for other nodes.
package org.ragwortlever.core.usage

import kotlinx.serialization.Serializable
import org.ragwortlever.core.store.epochOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Interval at which counts are copied to a peer in another availability zone. */
val COPY_INTERVAL: Duration = 200.milliseconds

/** Flush interval of each node: at least 5 s, and long enough that a fleet of [nodes] writes at most 20 values per second. */
fun flushInterval(nodes: Int): Duration = maxOf(5.seconds, nodes.seconds / 20)

/**
 * Update for the node that holds the copy of [source].
 *
 * @property sequence sequence of the source's last count.
 * @property parts changed parts by window.
 * @property needed windows of which the source still needs a copy; the holder may discard others.
 */
@Serializable
data class UsageCopy(
    val source: String,
    val sequence: Long,
    val parts: Map<String, UsagePart>,
    val needed: Set<String>,
)

/**
 * Usage counted by [source]; immutable.
 *
 * @property sequence number of counts so far; each part carries the sequence of its last count.
 * @property parts parts by window.
 * @property flushedSequences sequence of each part that the store has, by window.
 * @property storedRevisions store revision of the entry that holds each part, by window; saves a read before the next write.
 * @property retention time for which flushed parts are kept after the end of their window, in case the store loses them.
 * @property epoch epoch of the store to which the flushed sequences and stored revisions belong.
 */
data class UsageLedger(
    val source: String,
    val sequence: Long = 0,
    val parts: Map<String, UsagePart> = emptyMap(),
    val flushedSequences: Map<String, Long> = emptyMap(),
    val windowLength: Duration = UsageWindow.DEFAULT_LENGTH,
    val storedRevisions: Map<String, Long> = emptyMap(),
    val retention: Duration = Duration.ZERO,
    val epoch: Long = 0,
) {
    /** Returns the ledger in epoch [newest] of the store, in which all parts that are still kept are flushed again. */
    fun inEpoch(newest: Long): UsageLedger =
        if (newest == epoch) this else copy(epoch = newest, flushedSequences = emptyMap(), storedRevisions = emptyMap())

    /** Adds [counts] of [account] to the window that contains [now]. */
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

    /** Returns what the peer lacks that has everything up to sequence [acknowledged], or null if it lacks nothing. */
    fun copySince(acknowledged: Long): UsageCopy? {
        if (acknowledged >= sequence) return null
        return UsageCopy(source, sequence, parts.filterValues { it.sequence > acknowledged }, parts.keys)
    }

    /** Returns a flush for each part that is newer than in the store, oldest window first. */
    fun dueFlushes(): List<UsageFlush> =
        parts
            .filter { (window, part) -> part.sequence > (flushedSequences[window] ?: 0) }
            .toSortedMap()
            .map { (window, part) ->
                UsageFlush(window, source, part, FlushStage.WRITE_OPEN, storedRevision = storedRevisions[window] ?: 0)
            }

    /**
     * Records that [flush] is done, and removes windows whose [retention] has ended and that are completely flushed. What the
     * store had in another epoch confirms nothing.
     */
    fun markFlushed(
        flush: UsageFlush,
        now: Instant,
    ): UsageLedger {
        if (epochOf(flush.storedRevision) != epoch) return this
        val marked = flushedSequences + (flush.window to maxOf(flush.part.sequence, flushedSequences[flush.window] ?: 0))
        val kept =
            parts.filter { (window, part) ->
                UsageWindow.parse(window, windowLength).end + retention > now || part.sequence > (marked[window] ?: 0)
            }
        val written = storedRevisions + (flush.window to flush.storedRevision)
        return copy(parts = kept, flushedSequences = marked.filterKeys { it in kept }, storedRevisions = written.filterKeys { it in kept })
    }
}

/** Copies that this node holds, by source. When a source dies, this node flushes its copy under the name of the source. */
data class UsageCopies(
    val bySource: Map<String, Map<String, UsagePart>> = emptyMap(),
) {
    /** Merges [copy] by sequence, so repeated and reordered messages are harmless. */
    fun merge(copy: UsageCopy): UsageCopies {
        val held = bySource[copy.source].orEmpty().filterKeys { it in copy.needed }
        val newer = copy.parts.filter { (window, part) -> part.sequence > (held[window]?.sequence ?: 0) }
        return UsageCopies(bySource + (copy.source to held + newer))
    }

    /** Returns a flush for each copied part of [source], oldest window first. */
    fun flushes(source: String): List<UsageFlush> =
        bySource[source].orEmpty().toSortedMap().map { (window, part) -> UsageFlush(window, source, part) }

    /** Removes the part that [flush] has written, unless a newer one has arrived since. */
    fun removeFlushed(flush: UsageFlush): UsageCopies {
        val rest = bySource[flush.source].orEmpty().filterNot { (window, part) -> window == flush.window && part == flush.part }
        return UsageCopies(if (rest.isEmpty()) bySource - flush.source else bySource + (flush.source to rest))
    }
}
