// The platform's key-value service as those who follow it see it. Calls block.
package org.ragwortlever.daemon.platform

import com.github.michaelbull.result.Result
import org.ragwortlever.core.store.StoreChanges
import org.ragwortlever.core.store.StoreFailure
import org.ragwortlever.core.store.StoreRead
import kotlin.time.Duration

interface ChangeFeed {
    /** Reads every key that starts with [prefix]. */
    fun readPrefix(prefix: String): Result<StoreRead, StoreFailure>

    /** The changes under [prefix] after [revision]; waits up to [wait] for the first. */
    fun changes(
        prefix: String,
        revision: Long,
        wait: Duration,
    ): Result<StoreChanges, StoreFailure>
}
