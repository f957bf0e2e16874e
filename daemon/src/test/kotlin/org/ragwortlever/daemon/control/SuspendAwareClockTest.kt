package org.ragwortlever.daemon.control

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class SuspendAwareClockTest {
    private var wall = Instant.fromEpochSeconds(1000)
    private var steady = Duration.ZERO
    private val clock =
        SuspendAwareClock(
            wall =
                object : Clock {
                    override fun now() = wall
                },
            steady = { steady },
        )

    @Test
    fun `given a suspended machine, when it wakes, then the time it stood still has passed`() {
        wall += 6.seconds
        steady += 1.seconds
        expectThat(clock.now()).isEqualTo(Instant.fromEpochSeconds(1006))
    }

    @Test
    fun `given a wall clock that is set back, then no time is given back`() {
        clock.now()
        wall -= 100.seconds
        steady += 2.seconds
        expectThat(clock.now()).isEqualTo(Instant.fromEpochSeconds(1002))
        wall += 1.seconds
        steady += 1.seconds
        expectThat(clock.now()).isEqualTo(Instant.fromEpochSeconds(1003))
    }
}
