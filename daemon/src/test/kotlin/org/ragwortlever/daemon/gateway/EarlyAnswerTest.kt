package org.ragwortlever.daemon.gateway

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.ragwortlever.http.UnconnectedSocketFactory
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import java.io.IOException
import java.io.OutputStream
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger

// Servers that answer a long request before they have read it.
class EarlyAnswerTest {
    // The sockets of both sides buffer less than the content, so that it is still being sent when the server ends.
    private val fixture = RoutedRequestFixture(serverSockets = UnconnectedSocketFactory { sendBufferSize = SEND_BUFFER_BYTES })
    private val content = "x".repeat(CONTENT_BYTES)

    @AfterEach
    fun close() = fixture.close()

    // Guards against a part of an answer that reaches the caller as the whole (issue 57, MIXED).
    @ParameterizedTest
    @ValueSource(strings = ["/once/7", "/safe/7", "/stream/7", "/resumable/7"])
    fun `given an answer without length and chunks, when its server resets during the upload, then its caller gets no success`(
        path: String,
    ) {
        fixture.startServers({ request, socket ->
            socket.write("HTTP/1.1 200 OK\r\n${identity(request)}\r\npart")
            socket.reset()
        }, readsBody = { false })
        expectThat(fixture.post(path, content).use { it.code }).isEqualTo(502)
    }

    // Guards against the same part after a close, which resets the connection if the request is not read to its end.
    @Test
    fun `given an answer without length and chunks, when its server closes during the upload, then its caller gets no success`() {
        fixture.startServers({ request, socket ->
            socket.write("HTTP/1.1 200 OK\r\n${identity(request)}\r\npart")
            socket.close()
        }, readsBody = { false })
        expectThat(fixture.post("/once/7", content).use { it.code }).isEqualTo(502)
    }

    // Guards against a stream that ends as complete because a reset during its request was taken for its end (MIXED, ORDER).
    @Test
    fun `given a stream without length and chunks, when its server resets during the upload, then the caller's stream breaks off`() {
        fixture.startServers({ request, socket ->
            socket.beginUnframedStream(request)
            socket.write("id: 1\ndata: a\n\n")
            socket.reset()
        }, readsBody = { false })
        fixture.post("/stream/7", content).use { response ->
            if (response.isSuccessful) expectThrows<IOException> { response.body.string() } else expectThat(response.code).isEqualTo(502)
        }
    }

    // Guards against a caller who loses a stream although another server could have continued it.
    @Test
    fun `given a resumable stream, when its server resets during the upload, then another server continues it`() {
        val script = { request: ReceivedRequest, socket: Socket ->
            socket.beginUnframedStream(request)
            if (request.header("Last-Event-ID") == null) {
                socket.write("id: 1\ndata: a\n\n")
                socket.reset()
            } else {
                socket.write("id: 2\ndata: b\n\n")
                socket.close()
            }
        }
        val servers = fixture.startServers(script, script, readsBody = { "last-event-id" in it })
        expectThat(fixture.post("/resumable/7", content).use { it.body.string() }).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
        expectThat(servers.flatMap { it.received }.mapNotNull { it.header("Last-Event-ID") }).containsExactly("1")
    }

    // Guards against a caller who gets an error although another server could have answered.
    @Test
    fun `given an idempotent request, when its server resets during the upload, then its caller gets another server's answer`() {
        val sends = AtomicInteger()
        val script = { request: ReceivedRequest, socket: Socket ->
            if (request.body.isEmpty()) {
                socket.write("HTTP/1.1 200 OK\r\n${identity(request)}\r\npart")
                socket.reset()
            } else {
                socket.answer(request, "whole")
            }
        }
        fixture.startServers(script, script, readsBody = { sends.incrementAndGet() > 1 })
        expectThat(fixture.post("/safe/7", content).use { it.body.string() }).isEqualTo("whole")
        expectThat(sends.get()).isEqualTo(2)
    }

    // Guards against a rule so strict that early answers of sound servers are refused.
    @ParameterizedTest
    @ValueSource(strings = ["", "Content-Length: 5\r\n"])
    fun `given an early answer, when its server ends it and reads the rest of the upload, then its caller gets all of it`(framing: String) {
        fixture.startServers({ request, socket ->
            socket.write("HTTP/1.1 200 OK\r\n${identity(request)}$framing\r\nwhole")
            socket.shutdownOutput()
            socket.getInputStream().transferTo(OutputStream.nullOutputStream())
        }, readsBody = { false })
        expectThat(fixture.post("/once/7", content).use { it.body.string() }).isEqualTo("whole")
    }

    private fun identity(request: ReceivedRequest) = "X-Request-Id: ${request.header("X-Request-Id")}\r\nX-Answer-Signature: signed\r\n"

    private companion object {
        const val SEND_BUFFER_BYTES = 16 * 1024
        const val CONTENT_BYTES = 1024 * 1024
    }
}
