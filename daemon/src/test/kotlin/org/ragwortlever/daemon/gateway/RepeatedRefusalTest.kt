package org.ragwortlever.daemon.gateway

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

class RepeatedRefusalTest {
    private val fixture = RoutedRequestFixture()

    @AfterEach
    fun close() = fixture.close()

    // Guards against a second run, or "not run" for a request that ran, because a late copy of a refusal passed for the
    // answer to the next send of the same request (review/2).
    @ParameterizedTest
    @ValueSource(strings = ["503 Full\r\nX-Not-Run: 1", "429 Full\r\nX-Not-Run: 1", "421 Misdirected"])
    fun `given servers that refuse once and repeat the refusal late, when a request is sent again, then it runs once`(refusal: String) {
        val runs = AtomicInteger()
        val script = repeatingScript("HTTP/1.1 $refusal\r\nX-Request-Id: id-1\r\nContent-Length: 0\r\n\r\n", runs)
        fixture.startServers(script(), script())
        val status = fixture.post("/once/7").use { it.code }
        expectThat(runs.get()).isLessThanOrEqualTo(1)
        if (status in NOT_RUN_STATUSES) expectThat(runs.get()).isEqualTo(0)
    }

    // Guards against a rule so strict that a request is not sent again to a server that was full for a moment.
    @ParameterizedTest
    @ValueSource(strings = ["503 Full\r\nX-Not-Run: 1"])
    fun `given servers that are full for a moment, when all have refused a request, then it is sent again and answered`(refusal: String) {
        val runs = AtomicInteger()
        val script = repeatingScript("HTTP/1.1 $refusal\r\nX-Request-Id: id-1\r\nContent-Length: 0\r\n\r\n", runs)
        fixture.startServers(script(), script())
        expectThat(fixture.post("/once/7").use { it.body.string() }).isEqualTo("done")
        expectThat(runs.get()).isEqualTo(1)
    }

    /**
     * Creates scripts of servers that answer the first request with [refusal] and run all others. Where a connection has
     * carried the refusal, the next answer on it comes after a copy.
     */
    private fun repeatingScript(
        refusal: String,
        runs: AtomicInteger,
    ): () -> (ReceivedRequest, Socket) -> Unit =
        {
            val refused = ConcurrentHashMap.newKeySet<Socket>()
            val received = AtomicInteger();
            { request, socket ->
                if (received.incrementAndGet() == 1) {
                    refused += socket
                    socket.write(refusal)
                } else {
                    runs.incrementAndGet()
                    if (socket in refused) socket.write(refusal)
                    socket.answer(request, "done")
                }
            }
        }

    private companion object {
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
    }
}
