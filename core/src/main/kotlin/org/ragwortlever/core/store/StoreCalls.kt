/*
 * Calls to the store and their answers as values, so that a protocol can be pure: it names its next call and takes
 * the answer, and whoever runs it makes the call.
 */
package org.ragwortlever.core.store

import kotlin.time.Duration

/** One call to the store. */
sealed interface StoreCall {
    /** Reads one key, or every key that starts with [key] if [prefix] is set. */
    data class Read(
        val key: String,
        val prefix: Boolean = false,
    ) : StoreCall

    data class Commit(
        val transaction: Transaction,
    ) : StoreCall

    data class GrantLease(
        val duration: Duration,
    ) : StoreCall

    data class KeepAlive(
        val lease: Long,
    ) : StoreCall

    data class RevokeLease(
        val lease: Long,
    ) : StoreCall
}

/** What became of a [StoreCall]. */
sealed interface StoreAnswer {
    data class Found(
        val read: StoreRead,
    ) : StoreAnswer

    data class Transacted(
        val result: TransactionResult,
    ) : StoreAnswer

    data class LeaseGranted(
        val lease: Long,
    ) : StoreAnswer

    /** Answer to a renewal; [alive] is false when the lease has lapsed. */
    data class KeptAlive(
        val alive: Boolean,
    ) : StoreAnswer

    data object LeaseRevoked : StoreAnswer

    data class Failed(
        val failure: StoreFailure,
    ) : StoreAnswer
}

/** Revision of the commit that this answer confirms, or null if it confirms none. */
fun StoreAnswer.committedRevision(): Long? = ((this as? StoreAnswer.Transacted)?.result as? TransactionResult.Committed)?.revision

/** What this answer read, unless it is older than [revision]; replicas may answer with stale state. */
fun StoreAnswer.readSince(revision: Long): StoreRead? = (this as? StoreAnswer.Found)?.read?.takeIf { it.revision >= revision }
