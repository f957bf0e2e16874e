package org.ragwortlever.http

import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

class CallerWatchTest {
    private val observed = LinkedBlockingQueue<Boolean>()
    private val firstCheckDone = CountDownLatch(1)
    private val callerClosed = CountDownLatch(1)
    private val server =
        UndertowListeners(
            listOf(
                HttpListener("127.0.0.1", 0, {
                    val watch = checkNotNull(CallerWatch.current)
                    watch.onDisconnect { }
                    observed += watch.isDisconnected()
                    firstCheckDone.countDown()
                    callerClosed.await(20, TimeUnit.SECONDS)
                    observed += watch.isDisconnected()
                    Response(Status.OK)
                }),
            ),
            HttpLimits(workerThreads = 4),
        )

    @Test
    fun `given a running handler, when the caller closes its connection, then the next check reports the disconnect`() {
        server.start()
        val socket = Socket("127.0.0.1", server.port())
        socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray())
        firstCheckDone.await(20, TimeUnit.SECONDS)
        socket.close()
        // On loopback the end of the connection arrives within microseconds, so 100 ms is enough.
        Thread.sleep(100)
        callerClosed.countDown()
        expectThat(observed.poll(20, TimeUnit.SECONDS)).isNotNull().isEqualTo(false)
        expectThat(observed.poll(20, TimeUnit.SECONDS)).isNotNull().isEqualTo(true)
        server.stop()
    }
}
