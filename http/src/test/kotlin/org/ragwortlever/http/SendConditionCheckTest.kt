package org.ragwortlever.http

import okhttp3.OkHttpClient
import okhttp3.Request
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicBoolean

class SendConditionCheckTest {
    private val client = OkHttpClient.Builder().addNetworkInterceptor(SendConditionCheck).trackSends().build()

    @Test
    fun `given a VM that is delayed while it connects, when the decision has grown too old, then nothing of the request is sent`() {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            val isMet = AtomicBoolean(true)
            val builder = Request.Builder().url("http://127.0.0.1:${server.localPort}/")
            SendCondition { isMet.get() }.attachTo(builder)
            isMet.set(false)
            val tracker = SendTracker()
            expectThrows<NotSentException> { tracker.track { client.newCall(tracker.attachTo(builder.build())).execute() } }
                .get { cause }
                .isA<SendConditionException>()
            expectThat(tracker.mayHaveBeenSent).isFalse()
            client.connectionPool.evictAll()
            expectThat(server.accept().use { it.getInputStream().read() }).isEqualTo(-1)
        }
    }
}
