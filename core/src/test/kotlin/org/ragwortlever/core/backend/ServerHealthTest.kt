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
    fun `given a server that is only full, when it refuses, then it counts as sound`() {
        health.recordFailure(ServerFailure.BUSY, start)
        expectThat(health.errorRateAt(start)).isEqualTo(0.0)
        expectThat(health.avoidUntil).isLessThan(start + 1.seconds)
    }

    @Test
    fun `given a server that fails again and again, when it is avoided, then never longer than it takes to restart`() {
        repeat(20) { health.recordFailure(ServerFailure.UNREACHABLE, start) }
        expectThat(health.avoidUntil).isGreaterThan(start + 1.seconds)
        expectThat(health.avoidUntil).isLessThanOrEqualTo(start + 4.seconds)
    }

    @Test
    fun `given a server that fails a part of its requests, when it succeeds in between, then its rate of errors stays visible`() {
        repeat(10) {
            health.recordFailure(ServerFailure.ERROR, start)
            health.recordSuccess(start)
        }
        expectThat(health.errorRateAt(start)).isGreaterThan(0.3)
        expectThat(health.errorRateAt(start + 30.seconds)).isLessThan(0.01)
    }
}
