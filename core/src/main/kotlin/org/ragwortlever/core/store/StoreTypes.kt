/*
 * Model of the platform's key-value service: entries with revisions, conditional transactions and leases. The terms are
 * those of etcd version 3.
 */
package org.ragwortlever.core.store

/**
 * An entry of the store.
 *
 * @property createRevision store revision at which the key was created; higher each time the key is created again.
 * @property modifyRevision store revision of the last change.
 * @property lease id of the lease that the key is attached to; 0 for none.
 */
data class StoreEntry(
    val key: String,
    val value: String,
    val createRevision: Long,
    val modifyRevision: Long,
    val lease: Long = 0,
)

/** The entries that a read returned, and the store's revision at the time of the read. */
data class StoreRead(
    val revision: Long,
    val entries: List<StoreEntry>,
)

/** A precondition of a transaction. */
sealed interface Condition {
    val key: String

    /** The key does not exist. */
    data class Absent(
        override val key: String,
    ) : Condition

    /** The key was last changed at [revision]. */
    data class ModifiedAt(
        override val key: String,
        val revision: Long,
    ) : Condition

    /** The key was created at [revision] and has existed since. */
    data class CreatedAt(
        override val key: String,
        val revision: Long,
    ) : Condition
}

/** One change that a transaction makes. */
sealed interface Write {
    val key: String

    /** Sets the key and attaches it to [lease]; 0 for none. */
    data class Put(
        override val key: String,
        val value: String,
        val lease: Long = 0,
    ) : Write

    /** Deletes the key. */
    data class Delete(
        override val key: String,
    ) : Write
}

/** Maximum number of conditions and writes together that every store accepts; it rejects a larger transaction whole. */
const val MAXIMUM_TRANSACTION_ENTRIES: Int = 32

/** Makes all [writes] atomically if all [conditions] hold, else none. */
data class Transaction(
    val conditions: List<Condition>,
    val writes: List<Write>,
) {
    private val revisions: List<Long> get() = conditions.map { it.revisionOrZero }.filter { it != 0L }
    private val leases: List<Long> get() = writes.mapNotNull { (it as? Write.Put)?.lease }.filter { it != 0L }

    /** The newest epoch of the store in which a revision was given out that the transaction refers to; 0 if it refers to none. */
    val newestEpoch: Long get() = revisions.maxOfOrNull(::epochOf) ?: 0

    /** Whether all revisions and leases that the transaction refers to are of [epoch], without which its result means nothing. */
    fun isOf(epoch: Long): Boolean = revisions.all { epochOf(it) == epoch } && leases.all { isLeaseOf(epoch, it) }
}

private val Condition.revisionOrZero: Long
    get() =
        when (this) {
            is Condition.Absent -> 0
            is Condition.ModifiedAt -> revision
            is Condition.CreatedAt -> revision
        }

/** Result of a transaction that the store answered. */
sealed interface TransactionResult {
    /** All writes were made at [revision]. */
    data class Committed(
        val revision: Long,
    ) : TransactionResult

    /** A condition did not hold, so nothing was written. */
    data object ConditionFailed : TransactionResult
}

/** Why a call to the store has no answer. */
sealed interface StoreFailure {
    /** Nothing was sent, so the call has no effect. */
    data class NotSent(
        val reason: String,
    ) : StoreFailure

    /** The call was sent and may have taken effect. */
    data class NoAnswer(
        val reason: String,
    ) : StoreFailure
}

/** A change of one entry. */
sealed interface StoreChange {
    /** The entry was created or changed. */
    data class Put(
        val entry: StoreEntry,
    ) : StoreChange

    /** The entry was deleted, or its lease ended. */
    data class Removed(
        val key: String,
    ) : StoreChange
}

/** Result of a request for changes. */
sealed interface StoreChanges {
    /** The changes up to [revision], oldest first; the next request starts after it. */
    data class Since(
        val revision: Long,
        val changes: List<StoreChange>,
    ) : StoreChanges

    /** The store has compacted the changes away; everything has to be read again. */
    data object HistoryGone : StoreChanges
}
