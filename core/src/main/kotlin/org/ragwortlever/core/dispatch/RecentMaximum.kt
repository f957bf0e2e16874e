/*
 * A count that falls only after a while. The entry VMs divide limits by their number; a VM that has just left, or that
 * this one has lost sight of, may still send under its share.
 */
package org.ragwortlever.core.dispatch

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Not thread-safe. */
internal class RecentMaximum(
    private var current: Int,
) {
    private var held = current
    private var heldUntil = Instant.DISTANT_PAST

    fun set(
        count: Int,
        now: Instant,
    ) {
        val before = at(now)
        if (count < before) {
            held = before
            heldUntil = now + HOLD_TIME
        }
        current = count
    }

    /** The largest count that was set within [HOLD_TIME]. */
    fun at(now: Instant): Int = if (now < heldUntil) maxOf(current, held) else current

    private companion object {
        // Longer than a stopping VM goes on answering.
        val HOLD_TIME: Duration = 15.seconds
    }
}
