/*
 * The platform's key-value service as the decisions see it: entries with revisions, transactions guarded by
 * conditions, leases. The terms are those of etcd version 3.
 */
package org.ragwortlever.core.store

/**
 * An entry of the store.
 *
 * @property createRevision store revision at which the key was created; grows with each new creation.
 * @property modifyRevision store revision of the last change.
 * @property lease id of the lease that the key hangs on, or 0.
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

/** What must hold for a transaction to write. */
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

    /** Sets the key, hanging on [lease] unless that is 0. */
    data class Put(
        override val key: String,
        val value: String,
        val lease: Long = 0,
    ) : Write

    /** Removes the key. */
    data class Delete(
        override val key: String,
    ) : Write
}

/** Conditions and writes together that every store takes in one transaction; a larger one is refused whole. */
const val MAXIMUM_TRANSACTION_ENTRIES: Int = 32

/** All [writes] are made at once if all [conditions] hold, else none. */
data class Transaction(
    val conditions: List<Condition>,
    val writes: List<Write>,
)

/** What became of a transaction that the store answered. */
sealed interface TransactionResult {
    /** All writes were made at [revision]. */
    data class Committed(
        val revision: Long,
    ) : TransactionResult

    /** A condition did not hold and nothing was written. */
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

/** One change of an entry. */
sealed interface StoreChange {
    data class Put(
        val entry: StoreEntry,
    ) : StoreChange

    data class Removed(
        val key: String,
    ) : StoreChange
}

/** What a question for changes brought. */
sealed interface StoreChanges {
    /** The changes up to [revision], oldest first; ask for those after it next. */
    data class Since(
        val revision: Long,
        val changes: List<StoreChange>,
    ) : StoreChanges

    /** The store has forgotten the changes; everything has to be read again. */
    data object HistoryGone : StoreChanges
}
