package org.ragwortlever.core.answer

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo

class AnswerEndTest {
    private val ends =
        AnswerFraming.entries.map { AnswerEnd.Complete(it) } +
            listOf(AnswerEnd.Refused, AnswerEnd.BrokenOff, AnswerEnd.Foreign, AnswerEnd.Malformed, AnswerEnd.TooLong)

    // Guards against an answer that is framed as complete without a proof of its end (ORDER, MIXED).
    @Test
    fun `given any end and route, when it is not complete, then it is never forwarded`() =
        forAll { end, repetition, hasSentEvents ->
            expectThat(end.use(repetition, hasSentEvents) == AnswerUse.FORWARD).isEqualTo(end is AnswerEnd.Complete)
        }

    // Guards against "not run" for a request that may have run (REFUSED).
    @Test
    fun `given any end and route, when the server has not refused this request, then the caller is never told 'not run'`() =
        forAll { end, repetition, hasSentEvents ->
            if (end != AnswerEnd.Refused || hasSentEvents) {
                expectThat(end.use(repetition, hasSentEvents)).isNotEqualTo(AnswerUse.SEND_ELSEWHERE)
            }
        }

    // Guards against a second run of a request that may run once (TWICE).
    @Test
    fun `given a request that may run once, when it may have run, then it is sent to no other server`() =
        forAll { end, repetition, hasSentEvents ->
            val mayRepeat = repetition == Repetition.IDEMPOTENT || repetition == Repetition.RESUMABLE_STREAM
            if (end !is AnswerEnd.Complete && end != AnswerEnd.Refused && !mayRepeat) {
                expectThat(listOf(AnswerUse.REFUSE_UNKNOWN, AnswerUse.CUT)).contains(end.use(repetition, hasSentEvents))
            }
        }

    // Guards against a refusal or another server's first event in the middle of a stream.
    @Test
    fun `given a stream with events at the caller, when it fails, then it is continued or cut`() =
        forAll { end, repetition, hasSentEvents ->
            if (hasSentEvents && end !is AnswerEnd.Complete) {
                expectThat(listOf(AnswerUse.RESUME, AnswerUse.CUT)).contains(end.use(repetition, hasSentEvents))
            }
        }

    private fun forAll(check: (AnswerEnd, Repetition, Boolean) -> Unit) =
        ends.forEach { end ->
            Repetition.entries.forEach { repetition ->
                listOf(false, true).forEach { check(end, repetition, it) }
            }
        }
}
