/*
 * The state of the fake key-value service: entries with revisions, transactions and leases, as etcd version 3 has
 * them. Time is an argument, so that tests can drive it in virtual time.
 */
package org.ragwortlever.standins.platform

import org.ragwortlever.core.store.Condition
import org.ragwortlever.core.store.StoreEntry
import org.ragwortlever.core.store.StoreRead
import org.ragwortlever.core.store.Transaction
import org.ragwortlever.core.store.TransactionResult
import org.ragwortlever.core.store.Write
import java.util.TreeMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** A change that a watch delivers; [entry] is null for a removal. */
data class StoreChange(
    val revision: Long,
    val key: String,
    val entry: StoreEntry?,
)

/** A copy of a store's whole state, for [StoreMachine.restore]. */
class StoreCopy internal constructor(
    internal val entries: Map<String, StoreEntry>,
    internal val leases: Map<Long, StoreLease>,
    internal val changes: List<StoreChange>,
    internal val lastLease: Long,
    internal val revision: Long,
)

internal data class StoreLease(
    val duration: Duration,
    val expiry: Instant,
)

/** An in-memory store. Every call is atomic. */
class StoreMachine {
    private val entries = TreeMap<String, StoreEntry>()
    private val leases = HashMap<Long, StoreLease>()
    private val changes = ArrayList<StoreChange>()
    private var lastLease = 0L

    /** The store's revision; grows with each transaction that writes. */
    @get:Synchronized
    var revision: Long = 1
        private set

    @Synchronized
    fun read(
        key: String,
        now: Instant,
    ): StoreRead {
        expireLeases(now)
        return StoreRead(revision, listOfNotNull(entries[key]))
    }

    @Synchronized
    fun readPrefix(
        prefix: String,
        now: Instant,
    ): StoreRead {
        expireLeases(now)
        return StoreRead(revision, entries.tailMap(prefix).values.takeWhile { it.key.startsWith(prefix) })
    }

    @Synchronized
    fun commit(
        transaction: Transaction,
        now: Instant,
    ): TransactionResult {
        expireLeases(now)
        if (!transaction.conditions.all { it.holds() }) return TransactionResult.ConditionFailed
        if (transaction.writes.isEmpty()) return TransactionResult.Committed(revision)
        revision++
        transaction.writes.forEach { it.apply() }
        return TransactionResult.Committed(revision)
    }

    /** Grants a lease of [duration] and returns its id. */
    @Synchronized
    fun grantLease(
        duration: Duration,
        now: Instant,
    ): Long {
        expireLeases(now)
        leases[++lastLease] = StoreLease(duration, now + duration)
        return lastLease
    }

    /** Renews the lease; false when it has lapsed. */
    @Synchronized
    fun keepAlive(
        lease: Long,
        now: Instant,
    ): Boolean {
        expireLeases(now)
        val current = leases[lease] ?: return false
        leases[lease] = current.copy(expiry = now + current.duration)
        return true
    }

    /** How long the lease was granted for, or null when it has lapsed. */
    @Synchronized
    fun leaseDuration(lease: Long): Duration? = leases[lease]?.duration

    @Synchronized
    fun revokeLease(
        lease: Long,
        now: Instant,
    ) {
        expireLeases(now)
        endLease(lease)
    }

    /** Changes after [afterRevision] to keys that start with [prefix]. */
    @Synchronized
    fun changesAfter(
        afterRevision: Long,
        prefix: String,
        now: Instant,
    ): List<StoreChange> {
        expireLeases(now)
        return changes.filter { it.revision > afterRevision && it.key.startsWith(prefix) }
    }

    /** Returns a copy of the present state. */
    @Synchronized
    fun copy(): StoreCopy = StoreCopy(TreeMap(entries), HashMap(leases), ArrayList(changes), lastLease, revision)

    /**
     * Returns to the state of [copy]. What was written since is lost, renewals of leases too, and revisions and lease ids are
     * given out again from there.
     */
    @Synchronized
    fun restore(copy: StoreCopy) {
        entries.clear()
        entries += copy.entries
        leases.clear()
        leases += copy.leases
        changes.clear()
        changes += copy.changes
        lastLease = copy.lastLease
        revision = copy.revision
    }

    private fun expireLeases(now: Instant) {
        leases.filterValues { it.expiry <= now }.keys.toList().forEach(::endLease)
    }

    private fun endLease(lease: Long) {
        leases.remove(lease) ?: return
        val hanging = entries.values.filter { it.lease == lease }.map { it.key }
        if (hanging.isEmpty()) return
        revision++
        hanging.forEach { Write.Delete(it).apply() }
    }

    private fun Condition.holds(): Boolean {
        val entry = entries[key]
        return when (this) {
            is Condition.Absent -> entry == null
            is Condition.ModifiedAt -> entry?.modifyRevision == revision
            is Condition.CreatedAt -> entry?.createRevision == revision
        }
    }

    private fun Write.apply() {
        when (this) {
            is Write.Delete -> {
                if (entries.remove(key) != null) changes += StoreChange(revision, key, null)
            }
            is Write.Put -> {
                require(value.length <= MAXIMUM_VALUE_BYTES) { "the value of $key exceeds $MAXIMUM_VALUE_BYTES bytes" }
                val entry = StoreEntry(key, value, entries[key]?.createRevision ?: revision, revision, lease)
                entries[key] = entry
                changes += StoreChange(revision, key, entry)
            }
        }
    }

    companion object {
        const val MAXIMUM_VALUE_BYTES: Int = 1024 * 1024

        /** The shortest lease that the service grants. */
        val SHORTEST_LEASE: Duration = 1.seconds
    }
}
