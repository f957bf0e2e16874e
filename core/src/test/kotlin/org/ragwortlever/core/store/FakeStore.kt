// Immutable in-memory store for tests in virtual time and for exhaustive state exploration, which compares states.
package org.ragwortlever.core.store

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * @property leases duration and end of each lease, by id.
 * @property lastLease number of the last lease, without its epoch.
 * @property epoch rises each time the store comes back from an older copy.
 */
internal data class FakeStore(
    val revision: Long = 1,
    val entries: Map<String, StoreEntry> = emptyMap(),
    val leases: Map<Long, Pair<Duration, Instant>> = emptyMap(),
    val lastLease: Long = 0,
    val epoch: Long = 0,
) {
    /** Returns the state after removal of the leases that have expired by [now]. */
    fun at(now: Instant): FakeStore = leases.filterValues { it.second <= now }.keys.fold(this) { store, lease -> store.without(lease) }

    /** Returns the state after [call] and the answer to it. */
    fun call(
        call: StoreCall,
        now: Instant,
    ): Pair<FakeStore, StoreAnswer> = at(now).answer(call, now)

    /** Returns the state after the store has come back from [copy], an older state of it; numbers are given out again from there. */
    fun restored(copy: FakeStore): FakeStore {
        val next = epoch + 1
        return FakeStore(
            revision = copy.revision.inEpoch(next),
            entries =
                copy.entries.mapValues { (_, entry) ->
                    entry.copy(
                        createRevision = entry.createRevision.inEpoch(next),
                        modifyRevision = entry.modifyRevision.inEpoch(next),
                        lease = leaseInEpoch(next, leaseInStore(entry.lease)),
                    )
                },
            leases = copy.leases.mapKeys { leaseInEpoch(next, leaseInStore(it.key)) },
            lastLease = copy.lastLease,
            epoch = next,
        )
    }

    /**
     * Returns the state after [call] and the answer, for a client that knows [known] as the newest epoch. The store takes
     * numbers of an earlier epoch for its own; the client trusts no answer to a call with such numbers.
     */
    fun callFrom(
        known: Long,
        call: StoreCall,
        now: Instant,
    ): Pair<FakeStore, StoreAnswer> {
        if (!call.isOf(known)) return at(now) to call.answerOfEarlierEpoch(isSent = false)
        val (after, answer) = call(call.inEpoch(epoch), now)
        return after to if (call.isOf(epoch)) answer else call.answerOfEarlierEpoch(isSent = true)
    }

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
                val lease = leaseInEpoch(epoch, lastLease + 1)
                copy(leases = leases + (lease to (call.duration to now + call.duration)), lastLease = lastLease + 1) to
                    StoreAnswer.LeaseGranted(lease)
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

private fun Long.inEpoch(epoch: Long) = revisionInEpoch(epoch, revisionInStore(this))

private fun StoreCall.isOf(epoch: Long): Boolean =
    when (this) {
        is StoreCall.Commit -> transaction.isOf(epoch)
        is StoreCall.KeepAlive -> isLeaseOf(epoch, lease)
        is StoreCall.RevokeLease -> isLeaseOf(epoch, lease)
        is StoreCall.Read, is StoreCall.GrantLease -> true
    }

private fun StoreCall.answerOfEarlierEpoch(isSent: Boolean): StoreAnswer =
    when (this) {
        is StoreCall.KeepAlive -> {
            StoreAnswer.KeptAlive(false)
        }
        is StoreCall.RevokeLease -> {
            StoreAnswer.LeaseRevoked
        }
        else -> {
            val failed = StoreAnswer.Failed(StoreFailure.NoAnswer("the store has another epoch"))
            if (isSent) failed else StoreAnswer.Transacted(TransactionResult.ConditionFailed)
        }
    }

/** Returns the call with its numbers as the store takes them in [epoch]. */
internal fun StoreCall.inEpoch(epoch: Long): StoreCall =
    when (this) {
        is StoreCall.KeepAlive -> copy(lease = leaseInEpoch(epoch, leaseInStore(lease)))
        is StoreCall.RevokeLease -> copy(lease = leaseInEpoch(epoch, leaseInStore(lease)))
        is StoreCall.Commit -> StoreCall.Commit(transaction.inEpoch(epoch))
        is StoreCall.Read, is StoreCall.GrantLease -> this
    }

private fun Transaction.inEpoch(epoch: Long) =
    Transaction(
        conditions.map { condition ->
            when (condition) {
                is Condition.Absent -> condition
                is Condition.ModifiedAt -> condition.copy(revision = condition.revision.inEpoch(epoch))
                is Condition.CreatedAt -> condition.copy(revision = condition.revision.inEpoch(epoch))
            }
        },
        writes.map { if (it is Write.Put) it.copy(lease = leaseInEpoch(epoch, leaseInStore(it.lease))) else it },
    )
