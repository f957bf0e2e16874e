package org.ragwortlever.daemon.gateway

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.ragwortlever.core.backend.BackendServer
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration

/** Guards against a crash that is noticed only seconds later, and against taking a process that lives on for crashed. */
class ServerCheckTest {
    private val check = ServerCheck()

    @AfterEach
    fun close() = check.close()

    private fun server(
        id: String,
        port: Int,
    ) = BackendServer(id, 1, "service", "127.0.0.1:$port", "a", 1, isDraining = false, Duration.ZERO, isSpot = false, 1)

    private fun listen() = ServerSocket(0, 50, InetAddress.getLoopbackAddress())

    @Test
    fun `given a process that is gone, when it is checked, then the refused connection is reported`() {
        val port = listen().use { it.localPort }
        val refused = CountDownLatch(1)
        check.check(server("gone", port)) { refused.countDown() }
        expectThat(refused.await(20, TimeUnit.SECONDS)).isTrue()
    }

    @Test
    fun `given a process that takes connections, when it is checked, then nothing is reported`() {
        val reports = AtomicInteger()
        listen().use { listener ->
            check.check(server("alive", listener.localPort)) { reports.incrementAndGet() }
            repeat(2) { listener.accept().close() }
        }
        val refused = CountDownLatch(2)
        val port = listen().use { it.localPort }
        listOf("one", "two").forEach { id -> check.check(server(id, port)) { refused.countDown() } }
        expectThat(refused.await(20, TimeUnit.SECONDS)).isTrue()
        expectThat(reports.get()).isEqualTo(0)
    }
}
