package org.ragwortlever.daemon.gateway

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.io.IOException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Part of an answer whose bytes do not end: [start] is followed by [repeated] over and over. */
enum class EndlessPart(
    internal val start: String,
    internal val repeated: String,
) {
    STATUS_LINE("HTTP/1.1 200 ", "x"),
    HEADER("HTTP/1.1 200 OK\r\nX-Long: ", "x"),
    HEADERS("HTTP/1.1 200 OK\r\n", "X-Many: x\r\n"),
    INTERIM_ANSWERS("", "HTTP/1.1 102 Processing\r\n\r\n"),
    BODY_UNTIL_CLOSE("HTTP/1.1 200 OK\r\n$IDENTITY\r\n", "x"),
    CHUNKS("HTTP/1.1 200 OK\r\n${IDENTITY}Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
    CHUNK_SIZE("HTTP/1.1 200 OK\r\n${IDENTITY}Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n", "0"),
    CHUNK_EXTENSION("HTTP/1.1 200 OK\r\n${IDENTITY}Transfer-Encoding: chunked\r\n\r\n4;", "x"),
    AFTER_CHUNK("HTTP/1.1 200 OK\r\n${IDENTITY}Transfer-Encoding: chunked\r\n\r\n4\r\ndone", "x"),
    TRAILER("HTTP/1.1 200 OK\r\n${IDENTITY}Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX-Long: ", "x"),
    TRAILERS("HTTP/1.1 200 OK\r\n${IDENTITY}Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n", "X-Many: x\r\n"),
    REFUSAL("HTTP/1.1 500 Failed\r\nX-Request-Id: id-1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone", "x"),
}

private const val IDENTITY = "X-Request-Id: id-1\r\nX-Answer-Signature: signed\r\n"

class EndlessAnswerTest {
    private val fixture = RoutedRequestFixture()

    @AfterEach
    fun close() = fixture.close()

    // Guards against bytes without end that an entry VM keeps until it is out of memory and ends with all its requests (review/1).
    @ParameterizedTest
    @EnumSource
    fun `given an answer without end, when a request comes, then the VM stops reading and its caller gets no success`(part: EndlessPart) {
        val sentBytes = CompletableFuture<Long>()
        fixture.startServers({ _, socket ->
            socket.write(part.start)
            sentBytes.complete(socket.writeEndlessly(part.repeated))
        })
        expectThat(fixture.post("/once/7").use { it.code }).isEqualTo(502)
        expectThat(sentBytes.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isLessThan(MAX_SENT_BYTES)
    }

    // Guards against the same between the events of a stream that the caller has begun to get.
    @ParameterizedTest
    @ValueSource(strings = ["0", "x", "1\r\nx\r\n"])
    fun `given a stream that goes on without end, when its caller reads it, then the VM stops reading and cuts the stream`(
        repeated: String,
    ) {
        val sentBytes = CompletableFuture<Long>()
        fixture.startServers({ request, socket ->
            socket.beginStream(request)
            socket.chunk("id: 1\ndata: one\n\n")
            sentBytes.complete(socket.writeEndlessly(repeated))
        })
        fixture.post("/stream/7").use { expectThrows<IOException> { it.body.string() } }
        expectThat(sentBytes.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isLessThan(MAX_SENT_BYTES)
    }

    private companion object {
        // The limit for an answer, the framing of one-byte chunks and what the sockets of both sides buffer.
        const val MAX_SENT_BYTES = 24L * 1024 * 1024
        const val TIMEOUT_SECONDS = 20L
    }
}
