/*
 * Calls to the store and their answers as values. Protocols stay free of I/O: a protocol returns its next call, its
 * owner makes the call and passes the answer back.
 */
package org.ragwortlever.core.store

import kotlin.time.Duration

/** A call to the store. */
sealed interface StoreCall {
    /** Reads [key], or all keys that start with [key] if [prefix] is set. */
    data class Read(
        val key: String,
        val prefix: Boolean = false,
    ) : StoreCall

    /** Runs [transaction]. */
    data class Commit(
        val transaction: Transaction,
    ) : StoreCall

    /** Creates a lease that expires after [duration] unless it is renewed. */
    data class GrantLease(
        val duration: Duration,
    ) : StoreCall

    /** Renews [lease]. */
    data class KeepAlive(
        val lease: Long,
    ) : StoreCall

    /** Ends [lease] and deletes the keys that are attached to it. */
    data class RevokeLease(
        val lease: Long,
    ) : StoreCall
}

/** The result of a [StoreCall]. */
sealed interface StoreAnswer {
    /** Answer to [StoreCall.Read]. */
    data class Found(
        val read: StoreRead,
    ) : StoreAnswer

    /** Answer to [StoreCall.Commit]. */
    data class Transacted(
        val result: TransactionResult,
    ) : StoreAnswer

    /** Answer to [StoreCall.GrantLease]: the id of the new lease. */
    data class LeaseGranted(
        val lease: Long,
    ) : StoreAnswer

    /** Answer to [StoreCall.KeepAlive]; [alive] is false when the lease has expired. */
    data class KeptAlive(
        val alive: Boolean,
    ) : StoreAnswer

    /** Answer to [StoreCall.RevokeLease]. */
    data object LeaseRevoked : StoreAnswer

    /** The call got no answer. */
    data class Failed(
        val failure: StoreFailure,
    ) : StoreAnswer
}

/** Returns the revision of the store that this answer shows; null if it shows none. */
fun StoreAnswer.revision(): Long? = (this as? StoreAnswer.Found)?.read?.revision ?: committedRevision()

/** Returns the revision of the commit that this answer confirms; null if it confirms none. */
fun StoreAnswer.committedRevision(): Long? = ((this as? StoreAnswer.Transacted)?.result as? TransactionResult.Committed)?.revision

/**
 * Returns what this answer read; null if it read nothing or its revision is older than [revision], because replicas can
 * answer with stale state.
 */
fun StoreAnswer.readSince(revision: Long): StoreRead? = (this as? StoreAnswer.Found)?.read?.takeIf { it.revision >= revision }
