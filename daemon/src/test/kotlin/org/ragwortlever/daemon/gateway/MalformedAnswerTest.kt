package org.ragwortlever.daemon.gateway

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.RepeatedTest
import org.junit.jupiter.api.RepetitionInfo
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.io.IOException
import java.net.Socket
import java.util.concurrent.atomic.AtomicBoolean

class MalformedAnswerTest {
    private val fixture = RoutedRequestFixture()

    @AfterEach
    fun close() = fixture.close()

    // Guards against a success with an empty or short body, made of an answer that broke off within its head.
    @RepeatedTest(HEAD_LENGTH - 1)
    fun `given a server that closes within the head of its answer, when a request comes, then its caller gets no success`(
        repetition: RepetitionInfo,
    ) {
        fixture.startServers({ request, socket ->
            val head = "HTTP/1.1 200 OK\r\n${identity(request)}Content-Length: 0\r\n\r\n"
            check(head.length == HEAD_LENGTH)
            socket.write(head.take(repetition.currentRepetition))
            socket.close()
        })
        expectThat(fixture.post("/once/7").use { it.code }).isEqualTo(502)
        expectThat(fixture.post("/stream/7").use { it.code }).isEqualTo(502)
    }

    // Guards against an answer whose end can be read in two ways, of which one is a part of the body.
    @ParameterizedTest
    @ValueSource(
        strings = [
            "Content-Length: 3\r\nContent-Length: 4",
            "Content-Length: 4\r\nContent-Length: 3",
            "Content-Length: 4, 3",
            "Content-Length: soon",
            "Content-Length: -4",
            "Content-Length: +4",
            "Content-Length:",
            "Content-Length: 99999999999999999999",
            "Content-Length: 4\r\nTransfer-Encoding: chunked",
            "Transfer-Encoding: gzip, chunked",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
            "Transfer-Encoding: identity",
        ],
    )
    fun `given an answer whose end is not defined, when it arrives, then its caller gets no success`(framing: String) {
        fixture.startServers({ request, socket ->
            socket.write("HTTP/1.1 200 OK\r\n${identity(request)}$framing\r\n\r\ndone")
            socket.close()
        })
        expectThat(fixture.post("/once/7").use { it.code }).isEqualTo(502)
        expectThat(fixture.post("/stream/7").use { it.code }).isEqualTo(502)
    }

    // Guards against bytes in a head that are taken for a header, and against an unexpected error in place of an answer.
    @ParameterizedTest
    @ValueSource(
        strings = [
            "no colon here",
            ": no name",
            "Bad Name: x",
            "X-Bad : x",
            "X-Bad\t: x",
            " Folded: x",
            "\tFolded: x",
            "B\u00e4d: x",
            "X-Bad\u0000: x",
            "X\u0007Bad: x",
            "X\rBad: x",
            "X-Bad: a\u0000b",
            "X-Bad: a\u0000",
            "X-Bad: a\u001f",
            "Content-Length : 4",
            "Transfer-Encoding : chunked",
        ],
    )
    fun `given an answer with a line that is no header, when it arrives, then its caller gets no success`(line: String) {
        fixture.startServers({ request, socket ->
            socket.write("HTTP/1.1 200 OK\r\n${identity(request)}$line\r\nContent-Length: 4\r\n\r\ndone")
            socket.close()
        })
        expectThat(fixture.post("/once/7").use { it.code }).isEqualTo(502)
        expectThat(fixture.post("/stream/7").use { it.code }).isEqualTo(502)
    }

    // Guards against a malformed line in a head that the client reads and drops, so that only the bytes show it.
    @ParameterizedTest
    @ValueSource(strings = ["Bad Name: x", "X-Bad\u0001: x", "no colon here"])
    fun `given an interim response with a line that is no header, when an answer follows, then its caller gets no success`(line: String) {
        fixture.startServers({ request, socket ->
            socket.write("HTTP/1.1 103 Early Hints\r\n$line\r\n\r\nHTTP/1.1 200 OK\r\n${identity(request)}Content-Length: 4\r\n\r\ndone")
            socket.close()
        })
        expectThat(fixture.post("/once/7").use { it.code }).isEqualTo(502)
        expectThat(fixture.post("/stream/7").use { it.code }).isEqualTo(502)
    }

    // Guards against a status that the entry VM cannot handle and that ends the request in an unexpected error.
    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 -20 Odd",
            "HTTP/1.1 099 Odd",
            "HTTP/1.1 999 Odd",
            "HTTP/1.1 000 Odd",
            "HTTP/1.0 000",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Odd",
            "HTTP/2.0 200 OK",
            "\u0016\u0003\u0001",
            "HTTP/1.1 2000",
        ],
    )
    fun `given an answer with an invalid status line, when it arrives, then its caller gets no success`(line: String) {
        fixture.startServers({ request, socket ->
            socket.write("$line\r\n${identity(request)}Content-Length: 4\r\n\r\ndone")
            socket.close()
        })
        expectThat(fixture.post("/once/7").use { it.code }).isEqualTo(502)
        expectThat(fixture.post("/stream/7").use { it.code }).isEqualTo(502)
    }

    // Guards against a malformed head that ends a request which another server could run, or that counts as "not run".
    @ParameterizedTest
    @MethodSource("malformedHeads")
    fun `given an answer with a malformed head, when it arrives, then it is neither an answer nor a refusal`(head: String) {
        val hasFailed = AtomicBoolean()
        val script = { request: ReceivedRequest, socket: Socket ->
            if (hasFailed.getAndSet(true)) {
                socket.answer(request, "sound")
            } else {
                socket.write("$head\r\n${identity(request)}Content-Length: 4\r\n\r\ndone")
            }
        }
        fixture.startServers(script, script)
        expectThat(fixture.post("/safe/7").use { it.body.string() }).isEqualTo("sound")
        hasFailed.set(false)
        expectThat(fixture.post("/once/7").use { it.code }).isEqualTo(502)
    }

    // Guards against a stream that goes on with the body of an answer whose head is malformed.
    @ParameterizedTest
    @MethodSource("malformedHeads")
    fun `given a resumable stream, when the next server's head is malformed, then the caller's stream breaks off`(head: String) {
        val script = { request: ReceivedRequest, socket: Socket ->
            if (request.header("Last-Event-ID") == null) {
                socket.beginStream(request)
                socket.chunk("id: 1\ndata: a\n\n")
            } else {
                socket.write("$head\r\n${identity(request)}Content-Type: text/event-stream\r\n\r\nid: 2\ndata: b\n\n")
            }
            socket.close()
        }
        fixture.startServers(script, script)
        fixture.post("/resumable/7").use { response -> expectThrows<IOException> { response.body.string() } }
    }

    // Guards against a rule so strict that sound answers without a length and without chunks are refused.
    @Test
    fun `given an answer without length and chunks, when the server closes, then its caller gets all of it`() {
        fixture.startServers({ request, socket ->
            socket.write("HTTP/1.1 200 OK\r\n${identity(request)}\r\ndone")
            socket.close()
        })
        expectThat(fixture.post("/once/7").use { it.body.string() }).isEqualTo("done")
    }

    // Guards against a reset that ends an answer without length and chunks as if the server had closed it.
    @Test
    fun `given an answer without length and chunks, when the connection is reset, then its caller gets no success`() {
        fixture.startServers({ request, socket ->
            socket.write("HTTP/1.1 200 OK\r\n${identity(request)}\r\ndo")
            socket.reset()
        })
        expectThat(fixture.post("/once/7").use { it.code }).isEqualTo(502)
    }

    // Guards against an unexpected error after which the request counts as running at its server for ever.
    @Test
    fun `given an unexpected error in the entry VM, when it handles an answer, then the request ends and its outcome is unknown`() {
        fixture.startServers({ request, socket -> socket.answer(request, "done") })
        fixture.unexpectedError = IllegalStateException("unexpected")
        fixture.post("/once/7").use {
            expectThat(it.code).isEqualTo(500)
            expectThat(it.body.string()).contains("\"executed\":\"unknown\"")
        }
        expectThat(fixture.awaitNoOpenRequest()).isTrue()
    }

    private fun identity(request: ReceivedRequest) = "X-Request-Id: ${request.header("X-Request-Id")}\r\nX-Answer-Signature: signed\r\n"

    companion object {
        private const val HEAD_LENGTH = 86

        /** Heads without the lines that identify them. */
        @JvmStatic
        fun malformedHeads() =
            listOf(
                "HTTP/1.1 000 Odd",
                "HTTP/1.1 000 Odd\r\nX-Not-Run: 1",
                "HTTP/1.1 200 OK\r\nX Bad: x",
                "HTTP/1.1 200 OK\r\nX-Bad\u0001: x",
                "HTTP/1.1 503 Full\r\nX Bad: x\r\nX-Not-Run: 1",
                "HTTP/1.1 421 Misdirected\r\nX-Bad\u0001: x",
            )
    }
}
