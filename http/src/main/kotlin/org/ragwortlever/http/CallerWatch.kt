/*
 * Notices that a caller has closed its connection while a handler still works for it. Undertow does not read from a
 * connection while a request runs on it, so without this a handler learns of it at its next write at the earliest.
 */
package org.ragwortlever.http

import io.undertow.server.AbstractServerConnection
import io.undertow.server.HttpServerExchange
import org.xnio.conduits.ConduitStreamSourceChannel
import java.io.IOException
import java.util.concurrent.CopyOnWriteArrayList

/** Watches the connection of the request that the present thread handles. */
class CallerWatch private constructor(
    private val exchange: HttpServerExchange,
) {
    private val connection = exchange.connection as AbstractServerConnection
    private val channel: ConduitStreamSourceChannel = connection.channel.sourceChannel
    private val actions = CopyOnWriteArrayList<() -> Unit>()
    private var state = State.IDLE

    /** Runs [action] once, on another thread, when the caller closes its connection. The request's body must have been read. */
    fun onDisconnect(action: () -> Unit) {
        actions += action
        synchronized(this) {
            if (state != State.IDLE || !exchange.isRequestComplete) return
            state = State.WATCHING
        }
        connection.ioThread.execute { startReading() }
    }

    /**
     * Whether the caller has closed its connection by now. Looks on the calling thread, since on a busy VM the thread
     * that would report it may not have run yet.
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

    /** Whether the connection has ended; bytes of a next request are kept for Undertow. */
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

    /** Stops watching; must come before the exchange ends, since Undertow then reads from the connection itself. */
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

        /** The watch over the request that this thread handles; null outside of a handler. */
        val current: CallerWatch? get() = currentWatch.get()

        internal fun <T> runWatched(
            exchange: HttpServerExchange,
            handle: () -> T,
        ): T {
            val watch = CallerWatch(exchange)
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
