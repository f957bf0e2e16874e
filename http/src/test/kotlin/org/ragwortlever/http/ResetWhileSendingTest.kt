package org.ragwortlever.http

import okhttp3.MediaType
import okhttp3.Request
import okhttp3.RequestBody
import okio.BufferedSink
import org.http4k.core.Method
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isEqualTo
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import org.http4k.core.Request as Http4kRequest

class ResetWhileSendingTest {
    private val listener = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    private val client = plainHttpClient().retryOnConnectionFailure(false).build()
    private val hasResponded = CompletableFuture<Unit>()
    private val url = "http://127.0.0.1:${listener.localPort}/"

    @AfterEach
    fun close() {
        listener.close()
        client.connectionPool.evictAll()
    }

    // Guards against a part of a body that passes for the whole (issue 57, MIXED): the failed write takes the reset from
    // the socket, and the next read then ends as if the server had closed the connection.
    @ParameterizedTest
    @ValueSource(strings = ["HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\npart", "HTTP/1.1 200 OK\r\n\r\n"])
    fun `given a response that ends with its connection, when a reset interrupts its request, then reading it fails`(response: String) {
        serve { socket ->
            socket.write(response)
            socket.setSoLinger(true, 0)
            socket.close()
        }
        expectThrows<IOException> { exchange() }
    }

    // Guards against the same part from a server that closes before it has read the request, which resets the connection.
    @Test
    fun `given a response that ends with its connection, when a close interrupts its request, then reading it fails`() {
        serve { socket ->
            socket.write("HTTP/1.1 200 OK\r\n\r\npart")
            socket.close()
        }
        expectThrows<IOException> { exchange() }
    }

    // Guards against the same part where a response is passed on while it is read, as those of plain services are.
    @Test
    fun `given a response that is passed on as it arrives, when a reset interrupts its request, then reading it fails`() {
        serve { socket ->
            socket.write("HTTP/1.1 200 OK\r\n\r\npart")
            socket.setSoLinger(true, 0)
            socket.close()
        }
        val request = Http4kRequest(Method.POST, url).body(PausingStream(), PARTS.toLong() * PART_BYTES)
        expectThrows<IOException> { OkHttpHandler(client)(request).body.stream.use { it.readAllBytes() } }
    }

    // Guards against a rule so strict that a response whose end is proved fails because its request was interrupted.
    @ParameterizedTest
    @ValueSource(strings = ["Content-Length: 5\r\n\r\nwhole", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"])
    fun `given a whole response with length or chunks, when a reset interrupts its request, then all of it is read`(rest: String) {
        serve { socket ->
            socket.write("HTTP/1.1 200 OK\r\n$rest")
            socket.setSoLinger(true, 0)
            socket.close()
        }
        expectThat(exchange()).isEqualTo("whole")
    }

    // Guards against a rule so strict that early responses of servers that read the whole request fail.
    @Test
    fun `given a response that ends with its connection, when its server reads the rest of the request, then all of it is read`() {
        serve { socket ->
            socket.write("HTTP/1.1 200 OK\r\n\r\nwhole")
            socket.shutdownOutput()
            hasResponded.complete(Unit)
            socket.getInputStream().skipNBytes((PARTS - 1L) * PART_BYTES)
        }
        expectThat(exchange()).isEqualTo("whole")
    }

    /** Runs [respond] when the head of a request and the first part of its body have been read. */
    private fun serve(respond: (Socket) -> Unit) {
        thread(isDaemon = true) {
            listener.accept().use { socket ->
                socket.getInputStream().skipHead()
                socket.getInputStream().skipNBytes(PART_BYTES.toLong())
                respond(socket)
                hasResponded.complete(Unit)
            }
        }
    }

    /** Sends the first part of a request, and the others once the server has responded; returns the body of the response. */
    private fun exchange(): String {
        val request = Request.Builder().url(url).post(PausingBody()).build()
        return client.newCall(request).execute().use { it.body.string() }
    }

    private inner class PausingBody : RequestBody() {
        override fun contentType(): MediaType? = null

        override fun contentLength(): Long = PARTS.toLong() * PART_BYTES

        override fun writeTo(sink: BufferedSink) {
            repeat(PARTS) { part ->
                if (part == 1) hasResponded.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                sink.write(ByteArray(PART_BYTES))
                sink.flush()
            }
        }
    }

    /** The same body as a stream, of which the client buffers a part before it sends. */
    private inner class PausingStream : ChunkStream() {
        private var part = 0

        override fun nextChunk(): ByteArray? {
            if (part == 2) hasResponded.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
            return if (part++ < PARTS) ByteArray(PART_BYTES) else null
        }
    }

    private companion object {
        const val PARTS = 64
        const val PART_BYTES = 8192
        const val TIMEOUT_SECONDS = 20L
    }
}

private fun Socket.write(text: String) = getOutputStream().write(text.toByteArray())

private fun InputStream.skipHead() {
    val end = "\r\n\r\n"
    var matched = 0
    while (matched < end.length) matched = if (read() == end[matched].code) matched + 1 else 0
}
