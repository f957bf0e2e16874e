/*
 * The epochs of the store that one process has seen. A store that comes back from an older copy starts a new epoch: what
 * was acknowledged after the copy was made is gone, and its revisions and lease ids are given out again.
 */
package org.ragwortlever.core.store

import java.util.concurrent.atomic.AtomicLong

/**
 * Keeps the newest epoch that a response of the store has named; thread-safe.
 *
 * @param onChange called with the epoch before and the new one when a newer epoch is seen.
 */
class StoreEpochTracker(
    private val onChange: (before: Long, after: Long) -> Unit = { _, _ -> },
) {
    private val highest = AtomicLong(0)

    /** The newest epoch seen; 0 until a response has named one. */
    val newest: Long get() = highest.get()

    /**
     * Records that a response named [epoch], and returns whether no newer epoch is known. Throws [IllegalArgumentException] if
     * [epoch] is out of range.
     */
    fun observe(epoch: Long): Boolean {
        require(epoch in 0..MAXIMUM_EPOCH) { "epoch $epoch of the store is not between 0 and $MAXIMUM_EPOCH" }
        val before = highest.getAndAccumulate(epoch, ::maxOf)
        if (epoch > before) onChange(before, epoch)
        return epoch >= before
    }
}
