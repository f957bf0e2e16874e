package org.ragwortlever.daemon.platform

import com.github.michaelbull.result.getError
import kotlinx.serialization.builtins.serializer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.ragwortlever.core.fleet.NodeRecord
import org.ragwortlever.core.store.StoreFailure
import org.ragwortlever.daemon.caller.UpstreamCall
import org.ragwortlever.daemon.fleet.PeerClient
import org.ragwortlever.daemon.fleet.PeerRoute
import org.ragwortlever.daemon.gateway.ScriptedServer
import org.ragwortlever.daemon.gateway.write
import org.ragwortlever.daemon.gateway.writeEndlessly
import org.ragwortlever.daemon.role.BoundedSender
import org.ragwortlever.daemon.role.SendOutcome
import org.ragwortlever.http.AnswerTooLongException
import org.ragwortlever.http.plainHttpClient
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

// Each guards against a reply without end that its reader keeps until the process is out of memory.
class EndlessReplyTest {
    private val sentBytes = CompletableFuture<Long>()
    private val server =
        ScriptedServer { _, socket ->
            socket.write("HTTP/1.1 200 OK\r\n\r\n")
            sentBytes.complete(socket.writeEndlessly("x"))
        }
    private val client = plainHttpClient().build()

    @AfterEach
    fun close() = server.close()

    @Test
    fun `given a store that sends without end, when it is read, then the outcome is unknown after a bounded number of bytes`() {
        val store = EtcdStore("http://${server.address}", client, TIMEOUT)
        expectThat(store.read("key").getError()).isNotNull().isA<StoreFailure.NoAnswer>()
        expectBound()
    }

    @Test
    fun `given a store that sends a line without end, when it is watched, then the watch ends after a bounded number of bytes`() {
        val store = EtcdStore("http://${server.address}", client, TIMEOUT)
        expectThat(store.watch("key", 1) { true }.getError()).isNotNull()
        expectBound()
    }

    @Test
    fun `given a list of VMs without end, when it is read, then that fails after a bounded number of bytes`() {
        expectThat(VirtualMachineList("http://${server.address}", client).read().getError()).isNotNull()
        expectBound()
    }

    @Test
    fun `given a platform that sends without end, when a duty is sent, then there is no answer after a bounded number of bytes`() {
        val sender = BoundedSender(client, TIMEOUT) { true }
        expectThat(sender.put("http://${server.address}/scale", "{}", 1)).isEqualTo(SendOutcome.NoAnswer)
        expectBound()
    }

    @Test
    fun `given an engine that sends a line without end, when a completion is read, then it fails after a bounded number of bytes`() {
        UpstreamCall(client, "http://${server.address}", "{}").use { call -> expectThrows<AnswerTooLongException> { call.next() } }
        expectBound()
    }

    @Test
    fun `given a VM that sends without end, when it is called, then that fails after a bounded number of bytes`() {
        val peer = NodeRecord("vm-2", 1, "127.0.0.1:1", "a", "region", 1.0, peers = server.address)
        val route = PeerRoute("/call", String.serializer(), String.serializer())
        expectThat(PeerClient().call(peer, route, "question", TIMEOUT).getError()).isNotNull()
        expectBound()
    }

    private fun expectBound() = expectThat(sentBytes.get(TIMEOUT.inWholeSeconds, TimeUnit.SECONDS)).isLessThan(MAX_SENT_BYTES)

    private companion object {
        val TIMEOUT = 20.seconds

        // The largest limit of these readers and what the sockets of both sides buffer.
        const val MAX_SENT_BYTES = 24L * 1024 * 1024
    }
}
