package org.ragwortlever.http

import okhttp3.Request
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isEqualTo
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread

// What the client behind every reader of the product does with malformed heads.
class ResponseHeadCheckTest {
    private val listener = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    private val client = plainHttpClient().retryOnConnectionFailure(false).build()

    @AfterEach
    fun close() {
        listener.close()
        client.connectionPool.evictAll()
    }

    // Guards against a status that no server can mean and that passes for an answer (issue 57).
    @ParameterizedTest
    @ValueSource(strings = ["HTTP/1.1 000 Odd", "HTTP/1.0 000", "HTTP/1.1 099 Odd", "HTTP/1.1 600 Odd", "HTTP/1.1 20 Odd", "HTTP/1.1 OK"])
    fun `given an invalid status, when the response is read, then that fails`(statusLine: String) {
        expectThrows<IOException> { receive("$statusLine\r\nContent-Length: 4\r\n\r\ndone") }
        expectThrows<IOException> { receive("HTTP/1.1 100 Continue\r\n\r\n$statusLine\r\nContent-Length: 4\r\n\r\ndone") }
    }

    // Guards against a malformed name that is passed on or that hides the end of the body (issue 57).
    @ParameterizedTest
    @MethodSource("malformedLines")
    fun `given a malformed line in a head, when the response is read, then that fails`(line: String) {
        expectThrows<IOException> { receive("HTTP/1.1 200 OK\r\n$line\r\nContent-Length: 4\r\n\r\ndone") }
        expectThrows<IOException> { receive("HTTP/1.1 200 OK\r\n$line\r\n\r\n4\r\ndone\r\n0\r\n\r\n") }
    }

    // Guards against the same line in a head that OkHttp reads and drops.
    @ParameterizedTest
    @MethodSource("malformedLines")
    fun `given a malformed line in an interim head, when the response is read, then that fails`(line: String) {
        expectThrows<IOException> {
            receive("HTTP/1.1 100 Continue\r\n$line\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
        }
    }

    // Guards against control bytes that OkHttp trims, so that the caller gets a value that the server has not sent.
    @ParameterizedTest
    @ValueSource(strings = ["X-Bad: \u001fx", "X-Bad: x\r", "X-Bad: x\u000b", "X-Bad: \u001c", "Content-Length: 4\u000c"])
    fun `given a control byte at an end of a value, when the response is read, then that fails`(line: String) {
        expectThrows<IOException> { receive("HTTP/1.1 200 OK\r\n$line\r\n\r\ndone") }
    }

    // Guards against a rule so strict that sound heads fail: any token is a name, and a value may hold tabs and bytes above 127.
    @Test
    fun `given unusual lines that are allowed, when the response is read, then all of it is`() {
        val lines = "!#$%&'*+-.^_`|~09: \t a\tb \u00e4 \t\r\nEmpty:\r\nno-space:x"
        val response = receive("HTTP/1.1 103 Early Hints\r\n$lines\r\n\r\nHTTP/1.1 200 OK\r\n$lines\r\nContent-Length: 4\r\n\r\ndone")
        expectThat(response).isEqualTo("done")
    }

    /** Returns the body of a response that consists of the bytes of [text], after which the server closes. */
    private fun receive(text: String): String {
        thread(isDaemon = true) {
            listener.accept().use { socket ->
                socket.getInputStream().read(ByteArray(REQUEST_BYTES))
                socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
            }
        }
        return client.newCall(Request.Builder().url("http://127.0.0.1:${listener.localPort}/").build()).execute().use { it.body.string() }
    }

    companion object {
        // More than the request has.
        private const val REQUEST_BYTES = 8192

        @JvmStatic
        fun malformedLines() =
            listOf(
                "X Bad: x",
                "X-Bad : x",
                "X-Bad\t: x",
                " X-Bad: x",
                "\tX-Bad: x",
                "X\u0000Bad: x",
                "X-Bad\u0007: x",
                "X\rBad: x",
                "X-Bad\r: x",
                "X-Bad\u007f: x",
                "X-Bad: x\u0000y",
                "Content-Length : 2",
                "\u0001Content-Length: 2",
                "Transfer-Encoding : chunked",
                "Transfer-Encoding\u0000: chunked",
                "X-Bad",
                ": x",
            )
    }
}
