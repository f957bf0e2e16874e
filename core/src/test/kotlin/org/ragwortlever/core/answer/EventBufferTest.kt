package org.ragwortlever.core.answer

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.random.Random

@OptIn(ExperimentalKotest::class)
class EventBufferTest {
    // Guards against events that are lost, repeated or held back because of the places at which a stream was divided.
    @Test
    fun `given events with any line ends, when they arrive in any parts, then all come out whole, once and with their ids`() =
        runBlocking<Unit> {
            println("seed $SEED")
            checkAll(PropTestConfig(seed = SEED), streams(), Arb.list(Arb.int(1..7), 1..40)) { stream, parts ->
                val buffer = EventBuffer()
                val events = buffer.appendInParts(stream.text, parts)
                expectThat(events.joinToString("") { String(it.bytes) }).isEqualTo(stream.text)
                expectThat(events.flatMap { it.ids }).isEqualTo(stream.ids)
                expectThat(buffer.hasPartialEvent).isFalse()
            }
        }

    // Guards against a break within an event that looks like the end of the stream, at whatever byte it comes.
    @Test
    fun `given a stream, when it is cut at any byte, then it counts as within an event unless the cut is between two events`() {
        for (newline in listOf("\n", "\r\n")) {
            val event = "id: 1${newline}data: a$newline$newline"
            val stream = event.repeat(2)
            for (cut in 0..stream.length) {
                val buffer = EventBuffer()
                buffer.appendText(stream.take(cut))
                expectThat(buffer.hasPartialEvent).describedAs("after ${stream.take(cut)}").isEqualTo(cut % event.length != 0)
            }
        }
    }

    @Test
    fun `given line ends between two events, when the stream ends after them, then it is not within an event`() {
        val buffer = EventBuffer()
        expectThat(buffer.appendText("data: a\n\n\r\n\n")?.ids).isEqualTo(listOf(null))
        expectThat(buffer.hasPartialEvent).isFalse()
        buffer.appendText(": comment\n")
        expectThat(buffer.hasPartialEvent).isTrue()
    }

    private fun EventBuffer.appendText(text: String) = append(text.toByteArray(), text.length)

    private fun EventBuffer.appendInParts(
        text: String,
        parts: List<Int>,
    ): List<CompleteEvents> {
        val events = ArrayList<CompleteEvents>()
        var start = 0
        var part = 0
        while (start < text.length) {
            val end = minOf(text.length, start + parts[part++ % parts.size])
            appendText(text.substring(start, end))?.let { events += it }
            start = end
        }
        return events
    }

    private class Stream(
        val text: String,
        val ids: List<String>,
    )

    private fun streams(): Arb<Stream> =
        arbitrary { source ->
            val newline = NEWLINES[source.random.nextInt(NEWLINES.size)]
            val ids = List(source.random.nextInt(1, 6)) { (it * 3).toString() }
            Stream(ids.joinToString("") { source.random.event(it, newline) }, ids)
        }

    private fun Random.event(
        id: String,
        newline: String,
    ) = buildString {
        append("id:").append(if (nextBoolean()) " " else "").append(id).append(newline)
        repeat(nextInt(3)) { append("data: line ").append(it).append(newline) }
        append(newline)
    }

    private companion object {
        const val SEED = 20261207L
        val NEWLINES = listOf("\n", "\r\n", "\r")
    }
}
