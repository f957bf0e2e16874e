package org.ragwortlever.core.backend

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class ServerHealthTest {
    private val start = Instant.fromEpochSeconds(1000)
    private val health = ServerHealth()

    @Test
    fun `given a server at capacity, when it refuses a request, then it counts as healthy`() {
        health.recordFailure(ServerFailure.BUSY, start)
        expectThat(health.errorRateAt(start)).isEqualTo(0.0)
        expectThat(health.avoidUntil).isLessThan(start + 1.seconds)
    }

    @Test
    fun `given a server that fails repeatedly, when it is avoided, then for no longer than a restart takes`() {
        repeat(20) { health.recordFailure(ServerFailure.UNREACHABLE, start) }
        expectThat(health.avoidUntil).isGreaterThan(start + 1.seconds)
        expectThat(health.avoidUntil).isLessThanOrEqualTo(start + 4.seconds)
    }

    @Test
    fun `given a server that fails every second request, when requests succeed in between, then its error rate stays high`() {
        repeat(10) {
            health.recordFailure(ServerFailure.ERROR, start)
            health.recordSuccess(start)
        }
        expectThat(health.errorRateAt(start)).isGreaterThan(0.3)
        expectThat(health.errorRateAt(start + 30.seconds)).isLessThan(0.01)
    }
}
