package org.ragwortlever.daemon.gateway

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.ragwortlever.http.AnswerTooLongException
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

class ResponseMemoryTest {
    private val memory = ResponseMemory(LIMIT_BYTES)
    private val fixture = RoutedRequestFixture(memory)
    private val release = CountDownLatch(1)

    @AfterEach
    fun close() {
        release.countDown()
        fixture.close()
    }

    // Guards against a heap that many answers without end fill together, each of them within its own limit.
    @Test
    fun `given servers that send much and no end, when many requests come, then their answers stay within the memory`() =
        expectBound("/once/") { request, socket ->
            socket.write("HTTP/1.1 200 OK\r\n${identity(request)}\r\n" + "x".repeat(ANSWER_BYTES))
        }

    // Guards against the same by events without end.
    @Test
    fun `given servers that send events without end, when many requests come, then the streams stay within the memory`() =
        expectBound("/stream/") { request, socket ->
            socket.beginStream(request)
            socket.chunk("data: " + "x".repeat(EVENT_BYTES))
        }

    // Guards against a bound that lets ordinary answers fail because of large ones.
    @Test
    fun `given a memory that is full, when a small answer arrives, then its caller gets it`() {
        memory.open().growTo(LIMIT_BYTES + ResponseMemory.UNCOUNTED_BYTES)
        fixture.startServers({ request, socket -> socket.answer(request, "done") })
        expectThat(fixture.post("/once/1").use { it.body.string() }).isEqualTo("done")
    }

    // Guards against memory that is never given back, after which every large answer fails.
    @Test
    fun `given answers that were passed on, broken off, refused or retried, when they have ended, then no memory is reserved`() {
        val content = "x".repeat(ANSWER_BYTES / 2)
        var number = 0
        fixture.startServers({ request, socket ->
            when (number++) {
                0 -> socket.answer(request, content)
                1 -> socket.write("HTTP/1.1 200 OK\r\n${identity(request)}Content-Length: 900000\r\n\r\n$content").also { socket.close() }
                2 -> socket.answer(request, content, status = "503 Odd")
                3 -> socket.answer(request, content, status = "500 Failed")
                4 -> socket.answer(request, content)
                else -> socket.beginStream(request).also { socket.chunk("data: " + "x".repeat(EVENT_BYTES)) }.also { socket.close() }
            }
        })
        listOf("/once/0", "/once/1", "/once/2", "/safe/3", "/stream/5").forEach { path -> fixture.post(path).use { it.body.string() } }
        expectThat(awaitNothingReserved()).isEqualTo(0)
    }

    @Test
    fun `given reservations up to the limit, when another one grows, then it fails until one of them is closed`() {
        val first = memory.open().apply { growTo(LIMIT_BYTES) }
        val second = memory.open()
        expectThrows<AnswerTooLongException> { second.growTo(3 * ResponseMemory.UNCOUNTED_BYTES) }
        second.growTo(ResponseMemory.UNCOUNTED_BYTES)
        repeat(2) { first.close() }
        second.growTo(LIMIT_BYTES)
        second.growTo(1)
        expectThat(memory.reservedBytes).isEqualTo(LIMIT_BYTES - ResponseMemory.UNCOUNTED_BYTES)
    }

    /** Sends requests on [route] to a server that [begin]s an answer and does not end it. */
    private fun expectBound(
        route: String,
        begin: (ReceivedRequest, Socket) -> Unit,
    ) {
        fixture.startServers({ request, socket ->
            begin(request, socket)
            release.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)
            socket.close()
        })
        val statuses =
            (1..REQUESTS).map { number ->
                CompletableFuture.supplyAsync {
                    fixture.post(route + number, headers = mapOf("X-Request-Id" to "id-$number")).use { it.code }
                }
            }
        // Those that exceed the memory fail at once; the others wait for the rest of their answers.
        CompletableFuture.anyOf(*statuses.toTypedArray()).get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
        val reservedBytes = memory.reservedBytes
        release.countDown()
        expectThat(statuses.map { it.get(TIMEOUT_SECONDS, TimeUnit.SECONDS) }).contains(502)
        expectThat(reservedBytes).isLessThanOrEqualTo(LIMIT_BYTES)
        expectThat(awaitNothingReserved()).isEqualTo(0)
    }

    /** Waits until nothing is reserved and returns what is. */
    private fun awaitNothingReserved(): Long {
        val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS)
        while (memory.reservedBytes > 0 && System.nanoTime() < end) Thread.sleep(1)
        return memory.reservedBytes
    }

    private fun identity(request: ReceivedRequest) = "X-Request-Id: ${request.header("X-Request-Id")}\r\nX-Answer-Signature: signed\r\n"

    private companion object {
        const val LIMIT_BYTES = 2L * 1024 * 1024
        const val ANSWER_BYTES = 1024 * 1024
        const val EVENT_BYTES = 250 * 1024
        const val REQUESTS = 7
        const val TIMEOUT_SECONDS = 10L
    }
}
