package org.ragwortlever.daemon.gateway

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import java.io.IOException
import java.net.Socket

class BrokenStreamTest {
    private val fixture = RoutedRequestFixture()

    @AfterEach
    fun close() = fixture.close()

    // Guards against a stream that its server broke off within an event and that the caller gets as a complete one.
    @Test
    fun `given a stream without length and chunks, when its server closes within an event, then the caller's stream breaks off`() {
        fixture.startServers({ request, socket ->
            socket.beginUnframedStream(request)
            socket.write("id: 1\ndata: a\n\nid: 2\nda")
            socket.close()
        })
        fixture.post("/stream/7").use { response -> expectThrows<IOException> { response.body.string() } }
    }

    // Guards against a last chunk or a complete length that hides that the stream's last event is incomplete.
    @Test
    fun `given a stream in chunks, when its last chunk comes within an event, then the caller's stream breaks off`() {
        fixture.startServers({ request, socket ->
            socket.beginStream(request)
            socket.chunk("id: 1\ndata: a\n\nid: 2\nda")
            socket.write("0\r\n\r\n")
        })
        fixture.post("/stream/7").use { response -> expectThrows<IOException> { response.body.string() } }
    }

    // Guards against a success whose only content is a part of an event.
    @Test
    fun `given a stream, when its server closes within the first event, then the caller is told that the server failed`() {
        fixture.startServers({ request, socket ->
            socket.beginUnframedStream(request)
            socket.write("id: 1\nda")
            socket.close()
        })
        expectThat(fixture.post("/stream/7").use { it.code }).isEqualTo(502)
    }

    // Guards against a success without content, made of an answer that stopped after its head.
    @Test
    fun `given a stream without length and chunks, when its server closes before any event, then the caller is told that it failed`() {
        fixture.startServers({ request, socket ->
            socket.beginUnframedStream(request)
            socket.close()
        })
        expectThat(fixture.post("/stream/7").use { it.code }).isEqualTo(502)
    }

    // Guards against a stream that ends as complete because the server that was to continue it stopped after its head.
    @Test
    fun `given a resumable stream, when the next server closes before any event, then the caller's stream breaks off`() {
        val script = { request: ReceivedRequest, socket: Socket ->
            socket.beginUnframedStream(request)
            if (request.header("Last-Event-ID") == null) socket.write("id: 1\ndata: a\n\nid: 2\nda")
            socket.close()
        }
        fixture.startServers(script, script)
        fixture.post("/resumable/7").use { response -> expectThrows<IOException> { response.body.string() } }
    }

    // Guards against events that are cut in answers that are no streams by their route or status.
    @Test
    fun `given events on a plain route or with another status, when the server closes within one, then it is no success`() {
        fixture.startServers({ request, socket ->
            val status = if (request.line.contains("/stream/")) "206 Partial Content" else "200 OK"
            socket.write("HTTP/1.1 $status\r\nX-Request-Id: ${request.header("X-Request-Id")}\r\nX-Answer-Signature: signed\r\n")
            socket.write("Content-Type: text/event-stream\r\n\r\nid: 1\nda")
            socket.close()
        })
        expectThat(fixture.post("/stream/7").use { it.code }).isEqualTo(502)
        expectThat(fixture.post("/once/7").use { it.code }).isEqualTo(502)
    }

    // Guards against a break that is not noticed, so that a resumable stream is not resumed.
    @Test
    fun `given a resumable stream without length, when its server closes within an event, then another server resumes it`() {
        val script = { request: ReceivedRequest, socket: Socket ->
            socket.beginUnframedStream(request)
            if (request.header("Last-Event-ID") == null) {
                socket.write("id: 1\r\ndata: a\r\n\r\nid: 2\r\nda")
            } else {
                socket.write("id: 2\r\ndata: b\r\n\r\n")
            }
            socket.close()
        }
        val servers = fixture.startServers(script, script)
        val body = fixture.post("/resumable/7").use { it.body.string() }
        expectThat(body).isEqualTo("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n")
        expectThat(servers.flatMap { it.received }.mapNotNull { it.header("Last-Event-ID") }).containsExactly("1")
    }

    // Guards against a rule so strict that complete streams of servers that send neither length nor chunks are cut.
    @Test
    fun `given a stream without length and chunks, when its server closes after an event, then the caller's stream is complete`() {
        val events = "id: 1\ndata: a\n\nid: 2\r\ndata: b\n\r\n\nid: 3\rdata: c\r\r"
        fixture.startServers({ request, socket ->
            socket.beginUnframedStream(request)
            socket.write(events)
            socket.close()
        })
        expectThat(fixture.post("/stream/7").use { it.body.string() }).isEqualTo(events)
    }

    // Guards against a reset that is taken for the regular end of a stream that ends with its connection.
    @Test
    fun `given a stream without length and chunks, when its server resets after an event, then the caller's stream breaks off`() {
        fixture.startServers({ request, socket ->
            socket.beginUnframedStream(request)
            socket.write("id: 1\ndata: a\n\n")
            socket.reset()
        })
        fixture.post("/stream/7").use { response ->
            if (response.isSuccessful) expectThrows<IOException> { response.body.string() } else expectThat(response.code).isEqualTo(502)
        }
    }
}
