// The daemon's clock: anchored to the wall clock once and driven by the monotonic clock from then on.
package org.ragwortlever.daemon.control

import kotlin.time.Clock
import kotlin.time.Instant
import kotlin.time.TimeSource

/** A clock that a step of the wall clock does not move, so that leases and waits keep their length. */
class MonotonicClock : Clock {
    private val start: Instant = Clock.System.now()
    private val mark = TimeSource.Monotonic.markNow()

    override fun now(): Instant = start + mark.elapsedNow()
}
