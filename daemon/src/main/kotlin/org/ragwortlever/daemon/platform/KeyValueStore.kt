// The platform's key-value service as the daemon calls it. Calls block and belong on their own threads.
package org.ragwortlever.daemon.platform

import com.github.michaelbull.result.Result
import org.ragwortlever.core.store.StoreFailure
import org.ragwortlever.core.store.StoreRead
import org.ragwortlever.core.store.Transaction
import org.ragwortlever.core.store.TransactionResult
import kotlin.time.Duration

interface KeyValueStore {
    /** The newest epoch of the store that this process knows: it rises when the store comes back from an older copy. */
    val epoch: Long get() = 0

    /** Reads one key, at the newest revision. */
    fun read(key: String): Result<StoreRead, StoreFailure>

    /** Reads every key that starts with [prefix]. */
    fun readPrefix(prefix: String): Result<StoreRead, StoreFailure>

    fun commit(transaction: Transaction): Result<TransactionResult, StoreFailure>

    /** Grants a lease and returns its id. */
    fun grantLease(duration: Duration): Result<Long, StoreFailure>

    /** Renews a lease; false when it has lapsed. */
    fun keepAlive(lease: Long): Result<Boolean, StoreFailure>

    fun revokeLease(lease: Long): Result<Unit, StoreFailure>

    /**
     * Watches keys that start with [prefix] from [fromRevision] on; blocks, and calls [onRevision] with the store's
     * revision after each batch of changes, until [onRevision] returns false or the watch fails.
     */
    fun watch(
        prefix: String,
        fromRevision: Long,
        onRevision: (Long) -> Boolean,
    ): Result<Unit, StoreFailure>
}
