package org.ragwortlever.core.retry

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Covers a store that refuses a third of a large fleet's calls for seconds. */
class RetryBackoffTest {
    private val backoff = RetryBackoff(300.milliseconds, 2.seconds)

    @Test
    fun `given calls that fail one after another, then the delays double up to the maximum`() {
        expectThat(List(5) { backoff.nextDelay() })
            .containsExactly(300.milliseconds, 600.milliseconds, 1200.milliseconds, 2.seconds, 2.seconds)
    }

    @Test
    fun `given a success after failures, when a call fails again, then the delay is the initial one`() {
        repeat(3) { backoff.nextDelay() }
        backoff.reset()
        expectThat(backoff.nextDelay()).isEqualTo(300.milliseconds)
    }

    @Test
    fun `given nine seconds in which every call fails, then there are no more calls than in nine seconds of normal operation`() {
        var waited = Duration.ZERO
        val calls = generateSequence { backoff.nextDelay() }.takeWhile { (waited + it < 9.seconds).also { _ -> waited += it } }.count()
        expectThat(calls).isLessThanOrEqualTo(9)
    }
}
