// Immutable in-memory store for tests in virtual time and for exhaustive state exploration, which compares states.
package org.ragwortlever.core.store

import kotlin.time.Duration
import kotlin.time.Instant

/** @property leases duration and end of each lease, by id. */
internal data class FakeStore(
    val revision: Long = 1,
    val entries: Map<String, StoreEntry> = emptyMap(),
    val leases: Map<Long, Pair<Duration, Instant>> = emptyMap(),
    val lastLease: Long = 0,
) {
    /** Returns the state after removal of the leases that have expired by [now]. */
    fun at(now: Instant): FakeStore = leases.filterValues { it.second <= now }.keys.fold(this) { store, lease -> store.without(lease) }

    /** Returns the state after [call] and the answer to it. */
    fun call(
        call: StoreCall,
        now: Instant,
    ): Pair<FakeStore, StoreAnswer> = at(now).answer(call, now)

    /** Returns the state after the store has come back from [copy], an older state of it; numbers are given out again from there. */
    fun restored(copy: FakeStore): FakeStore = copy

    private fun answer(
        call: StoreCall,
        now: Instant,
    ): Pair<FakeStore, StoreAnswer> =
        when (call) {
            is StoreCall.Read -> {
                this to StoreAnswer.Found(StoreRead(revision, matching(call)))
            }
            is StoreCall.Commit -> {
                val lapsed = call.transaction.writes.any { it is Write.Put && it.lease != 0L && it.lease !in leases }
                if (lapsed) {
                    this to StoreAnswer.Failed(StoreFailure.NoAnswer("the lease does not exist"))
                } else if (call.transaction.conditions.all { it.holds() }) {
                    val written = call.transaction.writes.fold(copy(revision = revision + 1)) { store, write -> store.with(write) }
                    written to StoreAnswer.Transacted(TransactionResult.Committed(written.revision))
                } else {
                    this to StoreAnswer.Transacted(TransactionResult.ConditionFailed)
                }
            }
            is StoreCall.GrantLease -> {
                copy(leases = leases + (lastLease + 1 to (call.duration to now + call.duration)), lastLease = lastLease + 1) to
                    StoreAnswer.LeaseGranted(lastLease + 1)
            }
            is StoreCall.KeepAlive -> {
                val duration = leases[call.lease]?.first
                val renewed = if (duration == null) this else copy(leases = leases + (call.lease to (duration to now + duration)))
                renewed to StoreAnswer.KeptAlive(duration != null)
            }
            is StoreCall.RevokeLease -> {
                without(call.lease) to StoreAnswer.LeaseRevoked
            }
        }

    private fun matching(read: StoreCall.Read) =
        if (read.prefix) entries.values.filter { it.key.startsWith(read.key) }.sortedBy { it.key } else listOfNotNull(entries[read.key])

    private fun without(lease: Long): FakeStore {
        val kept = entries.filterValues { it.lease != lease }
        return copy(revision = if (kept.size < entries.size) revision + 1 else revision, entries = kept, leases = leases - lease)
    }

    private fun with(write: Write): FakeStore =
        when (write) {
            is Write.Delete -> {
                copy(entries = entries - write.key)
            }
            is Write.Put -> {
                val created = entries[write.key]?.createRevision ?: revision
                copy(entries = entries + (write.key to StoreEntry(write.key, write.value, created, revision, write.lease)))
            }
        }

    private fun Condition.holds(): Boolean =
        when (this) {
            is Condition.Absent -> key !in entries
            is Condition.ModifiedAt -> entries[key]?.modifyRevision == revision
            is Condition.CreatedAt -> entries[key]?.createRevision == revision
        }
}
