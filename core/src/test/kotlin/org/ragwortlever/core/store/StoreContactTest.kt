package org.ragwortlever.core.store

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Guards against a VM that takes an outage of the store for a fault of its own, because another VM seems to have been served. */
class StoreContactTest {
    private val start = Instant.fromEpochSeconds(1000)
    private val gap = StoreGap(lastAnswerAt = start + 10.seconds, failedAt = start + 12.seconds)
    private val contact = StoreContact()

    private fun answers(vararg seconds: Double) = seconds.forEach { contact.recordAnswer(start + it.seconds) }

    /** Whether the report that is asked for at [at], in a call that takes [callTime], covers [gap]. */
    private fun covers(
        at: Duration,
        callTime: Duration = 2.milliseconds,
    ): Boolean = contact.report(start + at)?.covers(gap, start + at, start + at + callTime) ?: false

    @Test
    fun `given a VM that had answers before and in the gap, then the gap was no outage of the store`() {
        answers(5.0, 10.5, 12.3)
        expectThat(covers(12.5.seconds)).isEqualTo(true)
    }

    @Test
    fun `given a VM without an answer since the first failed call, then it can't vouch for the store`() {
        answers(5.0, 10.5, 11.9)
        expectThat(covers(12.5.seconds)).isEqualTo(false)
    }

    @Test
    fun `given a VM whose own calls failed in the gap, then it can't vouch for the store`() {
        answers(5.0)
        contact.recordFailure()
        answers(12.3, 14.0)
        expectThat(covers(14.5.seconds)).isEqualTo(false)
    }

    @Test
    fun `given a VM whose first answer came as the gap began, when the call to it was slow, then it can't vouch for the store`() {
        answers(9.995, 12.3)
        expectThat(covers(12.5.seconds)).isEqualTo(true)
        expectThat(covers(12.5.seconds, callTime = 90.milliseconds)).isEqualTo(false)
    }

    @Test
    fun `given a VM whose last call has failed, then it says nothing`() {
        answers(5.0, 12.3)
        contact.recordFailure()
        expectThat(contact.report(start + 12.5.seconds)).isNull()
    }
}
