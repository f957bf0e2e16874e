package org.ragwortlever.core.retry

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Pattern: the store turns a third of a large fleet away for seconds. */
class RetryBackoffTest {
    private val backoff = RetryBackoff(300.milliseconds, 2.seconds)

    @Test
    fun `given calls that fail one after another, then the pauses double up to the longest`() {
        expectThat(List(5) { backoff.nextDelay() })
            .containsExactly(300.milliseconds, 600.milliseconds, 1200.milliseconds, 2.seconds, 2.seconds)
    }

    @Test
    fun `given an answer after failures, when a call fails again, then the first pause is short`() {
        repeat(3) { backoff.nextDelay() }
        backoff.reset()
        expectThat(backoff.nextDelay()).isEqualTo(300.milliseconds)
    }

    @Test
    fun `given nine seconds in which every call fails, then there are no more calls than in nine ordinary seconds`() {
        var waited = Duration.ZERO
        val calls = generateSequence { backoff.nextDelay() }.takeWhile { (waited + it < 9.seconds).also { _ -> waited += it } }.count()
        expectThat(calls).isLessThanOrEqualTo(9)
    }
}
