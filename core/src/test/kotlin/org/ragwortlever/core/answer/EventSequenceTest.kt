package org.ragwortlever.core.answer

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class EventSequenceTest {
    private val sequence = EventSequence()

    @Test
    fun `given rising ids, when they are appended, then the last one is known and gaps are allowed`() {
        expectThat(sequence.append(listOf("1", null, "2", "7"))).isNull()
        expectThat(sequence.lastId).isEqualTo("7")
    }

    // Guards against a second copy of an answer in the same body.
    @Test
    fun `given ids that fall or repeat, when they are appended, then they are rejected and nothing is recorded`() {
        sequence.append(listOf("1", "2"))
        expectThat(sequence.append(listOf("3", "1"))).isNotNull()
        expectThat(sequence.append(listOf("2"))).isNotNull()
        expectThat(sequence.lastId).isEqualTo("2")
    }

    // Guards against events that come twice, are missing or come from something that is no continuation.
    @Test
    fun `given a continuation, when it begins anywhere but after the last event, then it is rejected`() {
        sequence.append(listOf("4", "5"))
        sequence.continueFromOtherServer()
        for (id in listOf("1", "5", "7", null)) expectThat(sequence.append(listOf(id))).describedAs("id $id").isNotNull()
        expectThat(sequence.append(listOf("6", "9"))).isNull()
    }

    @Test
    fun `given ids that are no numbers, when they are appended, then only a repetition of the last is rejected`() {
        sequence.append(listOf("b", "a"))
        sequence.continueFromOtherServer()
        expectThat(sequence.append(listOf("a"))).isNotNull()
        expectThat(sequence.append(listOf("c"))).isNull()
    }

    // Guards against a continuation that is rejected because one event says nothing of the distance between ids.
    @Test
    fun `given a single event, when a continuation begins at a later id, then it is accepted`() {
        sequence.append(listOf("6"))
        sequence.continueFromOtherServer()
        expectThat(sequence.append(listOf("12"))).isNull()
    }
}
