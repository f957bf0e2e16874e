/*
 * A clock for leases. The steady clock stands still while the machine is suspended, and the wall clock can be set. A
 * lease must not be believed longer than it lasts, so this clock advances by whichever of the two advanced more.
 */
package org.ragwortlever.daemon.control

import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant
import kotlin.time.TimeSource

/** Never behind the time that has really passed, unless the wall clock is set back in the same moment. */
class SuspendAwareClock(
    private val wall: Clock = Clock.System,
    private val steady: () -> Duration = TimeSource.Monotonic.markNow().let { mark -> { mark.elapsedNow() } },
) : Clock {
    private var wallBefore = wall.now()
    private var steadyBefore = steady()
    private var current = wallBefore

    @Synchronized
    override fun now(): Instant {
        val wallNow = wall.now()
        val steadyNow = steady()
        current += maxOf(wallNow - wallBefore, steadyNow - steadyBefore, Duration.ZERO)
        wallBefore = wallNow
        steadyBefore = steadyNow
        return current
    }
}
