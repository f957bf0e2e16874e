/*
 * A store in virtual time that one VM follows, with backend servers whose entries change and times at which the store, or
 * this VM's way to it, fails. Calls advance the clock by the time that they would take.
 */
package org.ragwortlever.daemon.fleet

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.fleet.FleetRecord
import org.ragwortlever.core.store.StoreChange
import org.ragwortlever.core.store.StoreChanges
import org.ragwortlever.core.store.StoreEntry
import org.ragwortlever.core.store.StoreFailure
import org.ragwortlever.core.store.StoreGap
import org.ragwortlever.core.store.StoreRead
import org.ragwortlever.daemon.platform.ChangeFeed
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * A time in which this VM's calls fail.
 *
 * @property isStoreWide whether the store serves nobody meanwhile; else it turns only this VM away.
 * @property isSilent whether calls get no answer until they time out; else they fail at once.
 */
internal data class Disruption(
    val from: Instant,
    val to: Instant,
    val isStoreWide: Boolean,
    val isSilent: Boolean,
)

/** One write of the entry of server [id] at [at]; [isDraining] is null if the entry ends. */
internal data class EntryWrite(
    val at: Instant,
    val id: String,
    val isDraining: Boolean?,
    val sequence: Long,
)

/** @param writes in the order of their times. */
internal class FollowedStore(
    private val writes: List<EntryWrite>,
    private val disruptions: List<Disruption>,
    private val start: Instant,
) : ChangeFeed {
    var now: Instant = start

    override val pause: Duration = 900.milliseconds

    override fun readPrefix(prefix: String): Result<StoreRead, StoreFailure> {
        disruptionAt(now)?.let { return fail(it, Duration.ZERO) }
        val entries = writes.takeWhile { it.at <= now }.groupBy { it.id }.mapNotNull { (_, all) -> all.last().toEntry() }
        return Ok(StoreRead(revisionAt(now), entries))
    }

    override fun changes(
        prefix: String,
        revision: Long,
        wait: Duration,
    ): Result<StoreChanges, StoreFailure> {
        disruptionAt(now)?.let { return fail(it, wait) }
        val next = writes.drop(revision.toInt()).firstOrNull()?.at
        val end = maxOf(now, minOf(next ?: Instant.DISTANT_FUTURE, now + wait))
        val cut = disruptions.filter { it.from > now && it.from <= end }.minByOrNull { it.from }
        if (cut != null) {
            val waited = cut.from - now
            now = cut.from
            return fail(cut, wait - waited)
        }
        now = end
        val changes = writes.take(revisionAt(now).toInt()).drop(revision.toInt()).map { write ->
            write.toEntry()?.let { StoreChange.Put(it) } ?: StoreChange.Removed(write.id)
        }
        return Ok(StoreChanges.Since(revisionAt(now), changes))
    }

    /** Whether another VM, which asks now and then, has had answers before [gap] and since its first failed call. */
    fun hasServedOthers(gap: StoreGap): Boolean {
        val sinceLastAnswer = ((now - start).inWholeMilliseconds % OTHERS_INTERVAL.inWholeMilliseconds).milliseconds
        return now - sinceLastAnswer >= gap.failedAt && disruptions.none { it.isStoreWide && it.to > gap.lastAnswerAt && it.from <= now }
    }

    private fun fail(
        disruption: Disruption,
        wait: Duration,
    ): Result<Nothing, StoreFailure> {
        if (disruption.isSilent) now += wait + CALL_TIMEOUT
        return Err(StoreFailure.NoAnswer("disrupted"))
    }

    private fun disruptionAt(time: Instant) = disruptions.firstOrNull { time >= it.from && time < it.to }

    private fun revisionAt(time: Instant) = writes.count { it.at <= time }.toLong()

    private fun EntryWrite.toEntry(): StoreEntry? =
        isDraining?.let { StoreEntry(id, "$it $sequence", 1, writes.indexOf(this).toLong() + 1) }

    private companion object {
        val CALL_TIMEOUT = 1.5.seconds

        // A VM's longest time between two answers while nothing changes.
        val OTHERS_INTERVAL = 1900.milliseconds
    }
}

/** Decodes the entries of a [FollowedStore]. */
internal object FollowedStoreDecoder : FleetDecoder {
    override val prefix = ""

    override fun decode(entry: StoreEntry): FleetRecord {
        val (isDraining, sequence) = entry.value.split(' ')
        return FleetRecord.ServerAnnounced(
            BackendServer(
                entry.key,
                1000,
                "service",
                "10.0.0.1:80",
                "a",
                8,
                isDraining.toBoolean(),
                Duration.ZERO,
                false,
                sequence.toLong(),
            ),
        )
    }

    override fun decodeRemoval(key: String): FleetRecord = FleetRecord.ServerRemoved(key)
}
