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
    private val seen = LinkedBlockingQueue<Boolean>()
    private val running = CountDownLatch(1)
    private val looked = CountDownLatch(1)
    private val server =
        UndertowListeners(
            listOf(
                HttpListener("127.0.0.1", 0, {
                    val watch = checkNotNull(CallerWatch.current)
                    watch.onDisconnect { }
                    seen += watch.isDisconnected()
                    running.countDown()
                    looked.await(20, TimeUnit.SECONDS)
                    seen += watch.isDisconnected()
                    Response(Status.OK)
                }),
            ),
            HttpLimits(workerThreads = 4),
        )

    @Test
    fun `given a caller that closes its connection, when the handler looks, then it sees that at once`() {
        server.start()
        val socket = Socket("127.0.0.1", server.port())
        socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray())
        running.await(20, TimeUnit.SECONDS)
        socket.close()
        // On loopback the end of the connection arrives within microseconds.
        Thread.sleep(100)
        looked.countDown()
        expectThat(seen.poll(20, TimeUnit.SECONDS)).isNotNull().isEqualTo(false)
        expectThat(seen.poll(20, TimeUnit.SECONDS)).isNotNull().isEqualTo(true)
        server.stop()
    }
}
