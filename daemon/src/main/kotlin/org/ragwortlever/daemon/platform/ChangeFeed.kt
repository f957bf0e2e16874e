// The platform's key-value service as those who follow it see it. Calls block.
package org.ragwortlever.daemon.platform

import com.github.michaelbull.result.Result
import org.ragwortlever.core.store.StoreChanges
import org.ragwortlever.core.store.StoreFailure
import org.ragwortlever.core.store.StoreRead
import kotlin.time.Duration

interface ChangeFeed {
    /** How long to wait between two questions for changes. */
    val pause: Duration

    /** Age of the state that the last answer confirmed; zero where the store itself answered. */
    val age: Duration get() = Duration.ZERO

    /** Reads every key that starts with [prefix]. */
    fun readPrefix(prefix: String): Result<StoreRead, StoreFailure>

    /** The changes under [prefix] after [revision]; waits up to [wait] for the first. */
    fun changes(
        prefix: String,
        revision: Long,
        wait: Duration,
    ): Result<StoreChanges, StoreFailure>
}
