/*
 * Detects that a caller has closed its connection while its request is still running. Undertow does not read from a
 * connection during a request, so a handler would otherwise notice a disconnect no earlier than its next write.
 */
package org.ragwortlever.http

import io.undertow.server.AbstractServerConnection
import io.undertow.server.HttpServerExchange
import org.xnio.conduits.ConduitStreamSourceChannel
import java.io.IOException
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Watches the connection of one running request for a disconnect of the caller. Thread-safe. */
class CallerWatch private constructor(
    private val exchange: HttpServerExchange,
    private val requestStartNanoseconds: Long,
) {
    /** Time since the first byte of the request arrived; a request may wait for the rest of it and for a thread. */
    val requestAge: Duration get() = (System.nanoTime() - requestStartNanoseconds).nanoseconds
    private val connection = exchange.connection as AbstractServerConnection
    private val channel: ConduitStreamSourceChannel = connection.channel.sourceChannel
    private val actions = CopyOnWriteArrayList<() -> Unit>()
    private var state = State.IDLE

    /**
     * Runs [action] once, on a worker thread, when the caller closes its connection.
     *
     * Read the request's body first: until then the watch does not start.
     */
    fun onDisconnect(action: () -> Unit) {
        actions += action
        synchronized(this) {
            if (state != State.IDLE || !exchange.isRequestComplete) return
            state = State.WATCHING
        }
        connection.ioThread.execute { startReading() }
    }

    /**
     * Whether the caller has closed its connection.
     *
     * Reads from the connection on the calling thread, because on a busy VM the I/O thread that reports a disconnect
     * may not have run yet. Only a watch that [onDisconnect] has started detects one.
     */
    fun isDisconnected(): Boolean =
        synchronized(this) {
            if (state == State.WATCHING && connection.extraBytes == null && pollEndOfStream()) state = State.DISCONNECTED
            state == State.DISCONNECTED
        }

    private fun startReading() {
        synchronized(this) {
            if (state != State.WATCHING || connection.extraBytes != null) return
            channel.setReadListener { handleReadable() }
            connection.originalSourceConduit.resumeReads()
        }
    }

    private fun handleReadable() {
        val disconnected =
            synchronized(this) {
                if (state != State.WATCHING) return
                val ended = pollEndOfStream()
                if (ended) state = State.DISCONNECTED
                ended
            }
        if (!disconnected) return
        connection.worker.execute { actions.forEach { it() } }
    }

    /**
     * Reads once without blocking and returns whether the connection has ended. Bytes of a pipelined request are left
     * to Undertow, and the watch then stops.
     */
    private fun pollEndOfStream(): Boolean {
        val pooled = connection.byteBufferPool.allocate()
        val count =
            try {
                connection.originalSourceConduit.read(pooled.buffer)
            } catch (_: IOException) {
                -1
            }
        if (count <= 0) {
            pooled.close()
            if (count < 0) connection.originalSourceConduit.suspendReads()
            return count < 0
        }
        pooled.buffer.flip()
        connection.extraBytes = pooled
        stopReading()
        return false
    }

    /** Stops the watch. Call it before the exchange ends, because Undertow reads from the connection itself after that. */
    internal fun stop() {
        synchronized(this) {
            if (state == State.WATCHING) stopReading()
            if (state != State.DISCONNECTED) state = State.ENDED
        }
    }

    private fun stopReading() {
        state = State.ENDED
        connection.originalSourceConduit.suspendReads()
        channel.setReadListener(null)
    }

    private enum class State { IDLE, WATCHING, DISCONNECTED, ENDED }

    companion object {
        private val currentWatch = ThreadLocal<CallerWatch>()

        /** The watch for the request that the current thread handles; null outside of a handler. */
        val current: CallerWatch? get() = currentWatch.get()

        /** Runs [handle] with a watch on the connection of [exchange] as the [current] one of this thread. */
        internal fun <T> runWatched(
            exchange: HttpServerExchange,
            requestStartNanoseconds: Long,
            handle: () -> T,
        ): T {
            val watch = CallerWatch(exchange, requestStartNanoseconds)
            currentWatch.set(watch)
            try {
                return handle()
            } finally {
                currentWatch.remove()
                watch.stop()
            }
        }
    }
}
