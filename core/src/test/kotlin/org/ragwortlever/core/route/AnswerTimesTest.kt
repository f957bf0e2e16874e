package org.ragwortlever.core.route

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class AnswerTimesTest {
    private val now = Instant.fromEpochSeconds(1000)
    private val times = AnswerTimes()
    private val route = Route("route", "host", "/", emptyList(), RouteKind.STREAM, 8.seconds, 1.seconds)

    @Test
    fun `given a route without a recorded answer, when a duration is estimated, then it is the timeout of the route`() {
        expectThat(times.estimateDuration(route)).isEqualTo(8.seconds)
    }

    @Test
    fun `given short answers and a long one, when a duration is estimated, then it is somewhat longer than the long one`() {
        listOf(1.seconds, 3.seconds, 2.seconds).forEach { times.recordDuration("route", it, now) }
        expectThat(times.estimateDuration(route)).isGreaterThan(3.seconds).isLessThan(8.seconds)
    }

    @Test
    fun `given a long answer two minutes ago, when a duration is estimated, then the answer does not count`() {
        times.recordDuration("route", 7.seconds, now)
        times.recordDuration("route", 1.seconds, now + 1.minutes)
        times.recordDuration("route", 1.seconds, now + 2.minutes)
        expectThat(times.estimateDuration(route)).isLessThan(3.seconds)
    }
}
