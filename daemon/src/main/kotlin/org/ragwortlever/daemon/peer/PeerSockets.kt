/*
 * Sockets between entry VMs. Short messages are sent as UDP datagrams. A message that is too long for a datagram is sent on its
 * own TCP connection to the same port number, after its length in four bytes.
 */
package org.ragwortlever.daemon.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.BoundDatagramSocket
import io.ktor.network.sockets.Datagram
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.network.sockets.port
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.io.Buffer
import kotlinx.io.readByteArray
import org.ragwortlever.core.log.eventLine
import kotlin.time.Duration.Companion.seconds

/**
 * Listens on [address] for UDP datagrams and TCP connections.
 *
 * @param requestedPort port for both protocols; 0 selects an ephemeral port.
 */
class PeerSockets(
    private val address: String,
    requestedPort: Int,
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val selector = SelectorManager(Dispatchers.IO)
    private val datagramSocket: BoundDatagramSocket
    private val serverSocket: ServerSocket

    /** The port on which both sockets listen. */
    val port: Int

    init {
        val bound = runBlocking { bind(requestedPort) }
        datagramSocket = bound.first
        serverSocket = bound.second
        port = serverSocket.port
    }

    /** Passes every valid message that arrives to [onMessage], on an I/O thread. */
    fun start(onMessage: (PeerMessage) -> Unit) {
        scope.launch {
            while (isActive) {
                runCatching { datagramSocket.receive().packet.readByteArray() }.onSuccess { decodeAndDeliver(it, onMessage) }
            }
        }
        scope.launch {
            while (isActive) {
                val connection = serverSocket.accept()
                launch { runCatching { readMessage(connection) }.onSuccess { decodeAndDeliver(it, onMessage) } }
            }
        }
    }

    /** Sends [message] without waiting; a message that cannot be delivered is lost. */
    fun send(
        address: String,
        port: Int,
        message: PeerMessage,
    ) {
        val bytes = message.encode()
        scope.launch {
            runCatching {
                val to = InetSocketAddress(address, port)
                if (bytes.size <= MAX_DATAGRAM_BYTES) sendDatagram(bytes, to) else sendOverConnection(bytes, to)
            }.onFailure { logger.debug { eventLine("peer-send-failed", "to" to "$address:$port", "error" to it) } }
        }
    }

    override fun close() {
        scope.cancel()
        datagramSocket.close()
        serverSocket.close()
        selector.close()
    }

    /**
     * Binds both sockets to the same port. An ephemeral port that is free for TCP may be taken for UDP; then another one is tried,
     * in at most [BIND_ATTEMPTS] attempts.
     */
    private suspend fun bind(requestedPort: Int): Pair<BoundDatagramSocket, ServerSocket> {
        repeat(BIND_ATTEMPTS - 1) {
            runCatching { return bindOnce(requestedPort) }.onFailure { if (requestedPort != 0) throw it }
        }
        return bindOnce(requestedPort)
    }

    private suspend fun bindOnce(requestedPort: Int): Pair<BoundDatagramSocket, ServerSocket> {
        val tcp = aSocket(selector).tcp().bind(address, requestedPort)
        return runCatching { aSocket(selector).udp().bind(address, tcp.port) to tcp }.onFailure { tcp.close() }.getOrThrow()
    }

    private suspend fun sendDatagram(
        bytes: ByteArray,
        to: InetSocketAddress,
    ) = datagramSocket.send(Datagram(Buffer().apply { write(bytes) }, to))

    private suspend fun sendOverConnection(
        bytes: ByteArray,
        to: InetSocketAddress,
    ) = withTimeout(CONNECTION_TIMEOUT) {
        aSocket(selector).tcp().connect(to).use { socket ->
            val channel = socket.openWriteChannel()
            channel.writeInt(bytes.size)
            channel.writeByteArray(bytes)
            channel.flushAndClose()
        }
    }

    private suspend fun readMessage(connection: Socket): ByteArray =
        withTimeout(CONNECTION_TIMEOUT) {
            connection.use {
                val channel = it.openReadChannel()
                val size = channel.readInt()
                require(size in 1..MAX_MESSAGE_BYTES) { "invalid message length, allowed are 1 to $MAX_MESSAGE_BYTES bytes: $size bytes" }
                channel.readByteArray(size)
            }
        }

    private fun decodeAndDeliver(
        bytes: ByteArray,
        onMessage: (PeerMessage) -> Unit,
    ) {
        runCatching { PeerMessage.decode(bytes) }
            .onSuccess(onMessage)
            .onFailure { logger.debug { eventLine("peer-message-invalid", "bytes" to bytes.size, "error" to it.javaClass.simpleName) } }
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        /** Datagrams of this size pass every usual network path without fragmentation. */
        const val MAX_DATAGRAM_BYTES = 1200

        /** A document of 6,900 client accounts and their keys takes about a tenth of this limit. */
        const val MAX_MESSAGE_BYTES = 32 * 1024 * 1024
        const val BIND_ATTEMPTS = 10
        val CONNECTION_TIMEOUT = 5.seconds
    }
}
