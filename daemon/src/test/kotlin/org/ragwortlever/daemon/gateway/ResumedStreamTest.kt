package org.ragwortlever.daemon.gateway

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.io.IOException
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger

class ResumedStreamTest {
    private val fixture = RoutedRequestFixture()

    @AfterEach
    fun close() = fixture.close()

    // Guards against an error's text or head in the middle of a stream, and against a stream that ends with it.
    @ParameterizedTest
    @ValueSource(strings = ["500 Failed", "404 Not Found", "200 OK", "204 No Content", "206 Partial Content", "302 Found"])
    fun `given a stream that broke off, when the next server sends no stream, then nothing of it reaches the caller`(status: String) =
        expectBroken { request, socket ->
            val body = if (status.startsWith("204")) "" else "{\"error\":\"no\"}"
            socket.answer(request, body, status, "Content-Type: application/json\r\n")
        }

    // Guards against events that come twice, are missing or belong to another stream.
    @ParameterizedTest
    @ValueSource(strings = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 4\ndata: d\n\n", "event: error\ndata: no\n\n"])
    fun `given a stream that broke off, when the next server goes on elsewhere, then nothing of it reaches the caller`(event: String) =
        expectBroken { request, socket ->
            socket.beginStream(request)
            socket.chunk(event)
            socket.write("0\r\n\r\n")
        }

    // Guards against a body under the head and the signature of a server that did not send it.
    @Test
    fun `given a stream that broke off before its first event, when another server answers, then the caller gets that server's head`() {
        val asked = AtomicInteger()
        val script = { request: ReceivedRequest, socket: Socket ->
            if (asked.incrementAndGet() == 1) {
                socket.write("HTTP/1.1 200 OK\r\n${streamHead(request, "first")}\r\nid: 1\nda")
                socket.close()
            } else {
                socket.write("HTTP/1.1 200 OK\r\n${streamHead(request, "second")}\r\nid: 1\ndata: b\n\n")
                socket.close()
            }
        }
        fixture.startServers(script, script)
        fixture.post("/resumable/7").use {
            expectThat(it.header("X-Answer-Signature")).isEqualTo("second")
            expectThat(it.body.string()).isEqualTo("id: 1\ndata: b\n\n")
        }
    }

    // Guards against an answer that is no stream and whose bytes would be checked as events.
    @Test
    fun `given a route for streams, when a server answers with something else, then the caller gets it whole`() {
        fixture.startServers({ request, socket -> socket.answer(request, "{\"a\":1}", headers = "Content-Type: application/json\r\n") })
        fixture.post("/stream/7").use {
            expectThat(it.body.string()).isEqualTo("{\"a\":1}")
            expectThat(it.header("Transfer-Encoding")).isNull()
        }
    }

    // Guards against a second copy of an answer that follows the first in a body without a length.
    @Test
    fun `given a stream, when its events begin again, then the caller's stream breaks off`() {
        fixture.startServers({ request, socket ->
            socket.beginUnframedStream(request)
            socket.write(TWO_EVENTS)
            Thread.sleep(DELIVERY_MILLISECONDS)
            socket.write("HTTP/1.1 200 OK\r\n${streamHead(request, "signed")}\r\n$TWO_EVENTS")
            socket.close()
        })
        fixture.post("/stream/7").use { response -> expectThrows<IOException> { response.body.string() } }
    }

    /** Breaks a stream off after two events and expects that the caller gets no more than these when [next] is the other server's. */
    private fun expectBroken(next: (ReceivedRequest, Socket) -> Unit) {
        val script = { request: ReceivedRequest, socket: Socket ->
            if (request.header("Last-Event-ID") == null) {
                socket.beginStream(request)
                socket.chunk(TWO_EVENTS)
                Thread.sleep(DELIVERY_MILLISECONDS)
                socket.close()
            } else {
                next(request, socket)
            }
        }
        val servers = fixture.startServers(script, script)
        val received = StringBuilder()
        fixture.post("/resumable/7").use { response ->
            val reader = response.body.charStream()
            expectThrows<IOException> { generateSequence { reader.read() }.takeWhile { it >= 0 }.forEach { received.append(it.toChar()) } }
        }
        expectThat(received.toString()).isEqualTo(TWO_EVENTS)
        expectThat(servers.flatMap { it.received }).hasSize(2)
    }

    private fun streamHead(
        request: ReceivedRequest,
        signature: String,
    ) = "X-Request-Id: ${request.header("X-Request-Id")}\r\nX-Answer-Signature: $signature\r\nContent-Type: text/event-stream\r\n"

    private companion object {
        const val TWO_EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

        // Time for the events to reach the caller; without it the test would not see what came after them.
        const val DELIVERY_MILLISECONDS = 100L
    }
}
