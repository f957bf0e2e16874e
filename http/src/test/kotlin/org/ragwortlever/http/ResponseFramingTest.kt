package org.ragwortlever.http

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

class ResponseFramingTest {
    private val framing = ResponseFraming()

    // Guards against a rule so strict that sound responses fail, wherever a read of the socket ends.
    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
            "HTTP/1.0 200 OK\nContent-Length: 4\n\ndone",
            "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 204 No Content\r\n\r\n",
            "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0004 ;a=\"b\"\r\ndone\r\n1;\r\n\n\r\n0\r\nA: b\r\nC:\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
        ],
    )
    fun `given a sound response and bytes after it, when it arrives byte by byte or at once, then it ends where it should`(
        response: String,
    ) {
        val bytes = (response + "HTTP/1.1 503 Full\r\n").toByteArray()
        framing.beginResponse("POST")
        expectThat(framing.accept(bytes, 0, bytes.size)).isEqualTo(response.length)
        expectThat(framing.isComplete).isTrue()
        val bytewise = ResponseFraming().apply { beginResponse("POST") }
        expectThat(bytes.indices.sumOf { bytewise.accept(bytes, it, 1) }).isEqualTo(response.length)
        expectThat(bytewise.fault).isNotNull()
    }

    // Guards against a response to HEAD whose absent body takes the next response's bytes.
    @Test
    fun `given a request for the head alone, when the response has a length, then it ends with its head`() {
        framing.beginResponse("HEAD")
        val head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n".toByteArray()
        expectThat(framing.accept(head + head, 0, 2 * head.size)).isEqualTo(head.size)
    }

    @Test
    fun `given a response without length and chunks, when bytes arrive, then all of them belong to it`() {
        expectThat(receive("HTTP/1.1 200 OK\r\n\r\n", "any", "thing")).isEqualTo(8)
        expectThat(framing.isComplete).isEqualTo(false)
    }

    // Guards against bytes without end that are kept as a line until the process is out of memory (review/1).
    @ParameterizedTest
    @ValueSource(
        strings = [
            "",
            "HTTP/1.1 200 OK\r\nName: ",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        ],
    )
    fun `given a line without end, when its bytes arrive, then they are refused after a bounded number`(start: String) =
        expectBound(start, "0")

    // Guards against lines without end that each are short.
    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 200 OK\r\n|Name: value\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n|Name: value\r\n",
            "|HTTP/1.1 102 Processing\r\n\r\n",
        ],
    )
    fun `given lines without end, when they arrive, then they are refused after a bounded number of bytes`(startAndLine: String) =
        startAndLine.split('|').let { (start, line) -> expectBound(start, line) }

    // Guards against a part of a body that passes for the whole (review/4).
    @ParameterizedTest
    @ValueSource(
        strings = [
            "4\r\ndone|x\r\n",
            "4\r\ndone|\n",
            "4\r\ndone\r|\r\n",
            "4|\ndone\r\n",
            "4\r\ndone\r\n0\r\n|\n",
            "4\r\ndone\r\n0\r\nno trailer\r|\n",
            "4\r\ndone\r\n0\r\nX-Sum: 1\u0000\r|\n",
            "4\r\ndone\r\nx\r|\n",
        ],
    )
    fun `given a body with malformed framing, when it arrives, then only the bytes before the fault belong to the response`(body: String) {
        val sound = body.substringBefore('|')
        val rest = body.substringAfter('|') + "0\r\n\r\n"
        expectThat(receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", sound + rest)).isEqualTo(sound.length)
        expectThat(framing.fault).isNotNull()
    }

    @ParameterizedTest
    @ValueSource(strings = ["", "x", "-1", "+1", "0x1", "1 1", "1x", " 1", "10000000000000000"])
    fun `given a line that is no size of a chunk, when it is parsed, then there is none`(line: String) {
        expectThat(parseChunkSize(line)).isNull()
    }

    private fun expectBound(
        start: String,
        repeated: String,
    ) {
        receive(start)
        var accepted = 0
        while (accepted < ENDLESS_BYTES && framing.fault == null) accepted += accept(repeated.repeat(100))
        expectThat(accepted).isLessThan(MAX_FRAMING_BYTES)
    }

    /** Receives a response in these [parts] and returns how many bytes of the last ones belong to it. */
    private fun receive(vararg parts: String): Int {
        framing.beginResponse("POST")
        return parts.map { accept(it) }.drop(1).sum()
    }

    private fun accept(text: String) = text.toByteArray().let { framing.accept(it, 0, it.size) }

    private companion object {
        const val ENDLESS_BYTES = 10_000_000
        const val MAX_FRAMING_BYTES = 100_000
    }
}
