package org.ragwortlever.http

import okhttp3.ResponseBody
import okhttp3.ResponseBody.Companion.asResponseBody
import okio.Buffer
import okio.BufferedSource
import okio.Source
import okio.Timeout
import okio.buffer
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNull

class AnswerTooLongExceptionTest {
    private val endless = EndlessSource()

    // Guards against bytes without end that a reader of a response keeps until the process is out of memory.
    @Test
    fun `given a body without end, when it is read, then the read fails after little more than the limit`() {
        expectThrows<AnswerTooLongException> { endless.buffer().asResponseBody().readUpTo(LIMIT) }
        expectThat(endless.sentBytes).isLessThan(LIMIT + SEGMENT_BYTES)
    }

    @Test
    fun `given a line without end, when it is read, then the read fails after little more than the limit`() {
        expectThrows<AnswerTooLongException> { endless.buffer().readLineUpTo(LIMIT) }
        expectThat(endless.sentBytes).isLessThan(LIMIT + SEGMENT_BYTES)
    }

    @Test
    fun `given a length above the limit, when the body is read, then none of it is read`() {
        expectThrows<AnswerTooLongException> { endless.buffer().asResponseBody(null, LIMIT + 1).readUpTo(LIMIT) }
        expectThat(endless.sentBytes).isEqualTo(0)
    }

    @Test
    fun `given bodies around the limit, when they are read, then those up to the limit are whole`() {
        for (size in listOf(0L, 1L, LIMIT - 1, LIMIT)) expectThat(body(size).readUpTo(LIMIT).size).isEqualTo(size)
        expectThrows<AnswerTooLongException> { body(LIMIT + 1).readUpTo(LIMIT) }
    }

    @Test
    fun `given a reader without memory for more, when a body grows, then the read fails with the reader's error`() {
        val failure = expectThrows<AnswerTooLongException> {
            endless.buffer().asResponseBody().readUpTo(LIMIT) { if (it > LIMIT / 2) throw AnswerTooLongException("no memory") }
        }
        failure.get { message }.isEqualTo("no memory")
        expectThat(endless.sentBytes).isLessThan(LIMIT)
    }

    @Test
    fun `given lines, when they are read, then line ends are removed and the last line needs none`() {
        val source: BufferedSource = Buffer().writeUtf8("one\r\n\ntwo")
        expectThat(List(4) { source.readLineUpTo(LIMIT) }).isEqualTo(listOf("one", "", "two", null))
        expectThat(source.readLineUpTo(LIMIT)).isNull()
    }

    private fun body(size: Long): ResponseBody = Buffer().write(ByteArray(size.toInt())).asResponseBody(null, -1)

    private class EndlessSource : Source {
        var sentBytes = 0L

        override fun read(
            sink: Buffer,
            byteCount: Long,
        ): Long {
            sink.write(ByteArray(byteCount.toInt()))
            sentBytes += byteCount
            return byteCount
        }

        override fun timeout() = Timeout.NONE

        override fun close() = Unit
    }

    private companion object {
        const val LIMIT = 100_000L
        const val SEGMENT_BYTES = 8192
    }
}
