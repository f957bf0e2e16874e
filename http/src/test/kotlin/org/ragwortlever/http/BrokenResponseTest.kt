package org.ragwortlever.http

import org.http4k.core.Body
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.io.IOException
import java.net.Socket

class BrokenResponseTest {
    private var failure: Exception? = null
    private val server =
        UndertowServer("127.0.0.1", 0).toServer { Response(Status.OK).body(Body(FailingBody { failure }, null)) }.start()

    @AfterEach
    fun close() {
        server.stop()
    }

    // Guards against an unexpected error in the middle of a response, after which the server would send the last chunk.
    @Test
    fun `given a body that fails with an unexpected error, when it is sent in chunks, then the last chunk is missing`() {
        failure = IllegalStateException("unexpected")
        val response = exchange("HTTP/1.1").readAllBytes().decodeToString()
        expectThat(response).contains("part")
        expectThat(response.endsWith("0\r\n\r\n")).isEqualTo(false)
    }

    // Guards against a stream without a mark of its end, which a killed process ends like a complete one.
    @Test
    fun `given a caller that does not keep its connection, when the body is complete, then it ends with the last chunk`() {
        expectThat(exchange("HTTP/1.1").readAllBytes().decodeToString().endsWith("\r\n0\r\n\r\n")).isEqualTo(true)
    }

    // Guards against a response that ends with its connection and breaks off as if it were complete.
    @Test
    fun `given a caller that speaks HTTP 1,0, when the body fails, then the connection is reset`() {
        failure = IOException("broken")
        expectThrows<IOException> { exchange("HTTP/1.0").readAllBytes() }
    }

    @Test
    fun `given a caller that speaks HTTP 1,0, when the body is complete, then the connection ends regularly`() {
        expectThat(exchange("HTTP/1.0").readAllBytes().decodeToString()).contains("part")
    }

    private fun exchange(version: String) =
        Socket("127.0.0.1", server.port()).run {
            getOutputStream().write("GET / $version\r\nHost: host\r\nConnection: close\r\n\r\n".toByteArray())
            getInputStream()
        }

    /** Yields one chunk; after that [failure], or the end if it is null. */
    private class FailingBody(
        private val failure: () -> Exception?,
    ) : ChunkStream() {
        private var isRead = false

        override fun nextChunk(): ByteArray? {
            if (!isRead) return "part".toByteArray().also { isRead = true }
            failure()?.let { throw it }
            return null
        }
    }
}
