/*
 * The threads and listening sockets of a server. The HTTP library's own server class opens its sockets itself and shows a
 * connection only with its first complete request; here each connection is admitted before the library gets it.
 */
package org.ragwortlever.http

import io.undertow.UndertowOptions
import io.undertow.server.DefaultByteBufferPool
import io.undertow.server.HttpHandler
import io.undertow.server.protocol.http.HttpOpenListener
import org.xnio.ChannelListener
import org.xnio.IoUtils
import org.xnio.OptionMap
import org.xnio.Options
import org.xnio.StreamConnection
import org.xnio.Xnio
import org.xnio.XnioWorker
import org.xnio.channels.AcceptingChannel
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.CopyOnWriteArrayList

internal class ServerSockets(
    limits: HttpLimits,
) : AutoCloseable {
    private val options =
        OptionMap
            .builder()
            .set(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeaderBytes)
            .set(UndertowOptions.NO_REQUEST_TIMEOUT, limits.idleTimeoutMilliseconds)
            .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
            // Handlers get the path undecoded and reject what they do not support, each with its own error response.
            .set(UndertowOptions.DECODE_URL, false)
            .set(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
            .map
    private val worker: XnioWorker =
        Xnio.getInstance(HttpOpenListener::class.java.classLoader).createWorker(
            OptionMap
                .builder()
                .set(Options.WORKER_IO_THREADS, IO_THREADS)
                .set(Options.WORKER_TASK_CORE_THREADS, limits.workerThreads)
                .set(Options.WORKER_TASK_MAX_THREADS, limits.workerThreads)
                .set(Options.TCP_NODELAY, true)
                .set(Options.CORK, true)
                .map,
        )
    private val buffers = createBufferPool(Runtime.getRuntime().maxMemory())
    private val servers = CopyOnWriteArrayList<AcceptingChannel<StreamConnection>>()

    /** Port of the first socket that listens. */
    val firstPort: Int get() = (servers.first().localAddress as InetSocketAddress).port

    /** Accepts connections at [host] and [port], and handles their requests by [handler]. */
    fun listen(
        host: String,
        port: Int,
        connections: ClientConnections,
        handler: HttpHandler,
    ) {
        val openListener = HttpOpenListener(buffers, options).apply { rootHandler = handler }
        val address = InetSocketAddress(InetAddress.getByName(host), port)
        val accept = ChannelListener<AcceptingChannel<StreamConnection>> { it.acceptAll(connections, openListener) }
        val server = worker.createStreamConnectionServer(address, accept, socketOptions(connections.maxConnections))
        servers += server
        server.resumeAccepts()
    }

    private fun AcceptingChannel<StreamConnection>.acceptAll(
        connections: ClientConnections,
        openListener: HttpOpenListener,
    ) {
        while (true) {
            val connection = accept() ?: return
            if (connections.open(connection)) openListener.handleEvent(connection) else connection.closeSoon()
        }
    }

    override fun close() {
        servers.forEach(IoUtils::safeClose)
        worker.shutdownNow()
    }

    private companion object {
        const val IO_THREADS = 2
        const val BACKLOG = 1000
        const val SMALL_HEAP_BYTES = 64L * 1024 * 1024
        const val MEDIUM_HEAP_BYTES = 128L * 1024 * 1024
        const val THREAD_LOCAL_BUFFERS = 4

        /**
         * A connection that is turned away keeps its descriptor until its I/O thread selects again, so the kernel holds back
         * what comes beyond a few more than [maxConnections].
         */
        fun socketOptions(maxConnections: Int): OptionMap =
            OptionMap
                .builder()
                .set(Options.WORKER_IO_THREADS, IO_THREADS)
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BALANCING_TOKENS, 1)
                .set(Options.BALANCING_CONNECTIONS, 2)
                .set(Options.BACKLOG, BACKLOG)
                .set(Options.CONNECTION_HIGH_WATER, maxConnections + maxConnections / 8 + 1)
                .set(Options.CONNECTION_LOW_WATER, maxConnections + maxConnections / 8)
                .map

        /** Small buffers on a small heap, because each request that is being received holds one. */
        fun createBufferPool(heapBytes: Long) =
            when {
                heapBytes < SMALL_HEAP_BYTES -> DefaultByteBufferPool(false, 512, -1, THREAD_LOCAL_BUFFERS)
                heapBytes < MEDIUM_HEAP_BYTES -> DefaultByteBufferPool(true, 1024, -1, THREAD_LOCAL_BUFFERS)
                else -> DefaultByteBufferPool(true, 16 * 1024 - 20, -1, THREAD_LOCAL_BUFFERS)
            }
    }
}
