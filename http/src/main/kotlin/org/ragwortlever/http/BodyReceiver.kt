/*
 * Receives the body of a request without a thread that waits for it: a client that stops in the middle of its body holds
 * a connection and the bytes that it has sent, but keeps no other request from running.
 */
package org.ragwortlever.http

import io.undertow.io.IoCallback
import io.undertow.io.Sender
import io.undertow.server.HttpServerExchange
import io.undertow.server.protocol.http.HttpContinue
import okio.Buffer
import okio.ByteString
import org.ragwortlever.core.intake.RequestRejection
import org.xnio.ChannelListener
import org.xnio.channels.StreamSourceChannel
import java.io.IOException

/**
 * Runs on the connection's I/O thread.
 *
 * @param onReceived called with the whole body.
 * @param onRejected called instead of it when the body is not accepted; the rest of it has not been read.
 */
internal class BodyReceiver(
    private val exchange: HttpServerExchange,
    private val connection: ClientConnectionState,
    private val maxBytes: Long,
    private val onReceived: (ByteString) -> Unit,
    private val onRejected: (RequestRejection) -> Unit,
) {
    private val content = Buffer()
    private var reservedBytes = 0L

    fun start() {
        val announced = exchange.requestContentLength
        reservedBytes = maxOf(0, announced)
        when {
            announced > maxBytes -> onRejected(RequestRejection.BODY_TOO_LARGE)
            !connection.beginBody(reservedBytes) -> onRejected(RequestRejection.NO_ROOM)
            HttpContinue.requiresContinueResponse(exchange) -> HttpContinue.sendContinueResponse(exchange, AfterContinue())
            else -> receive()
        }
    }

    private fun receive() {
        val channel = exchange.requestChannel ?: return
        if (readAvailable(channel)) return
        channel.readSetter.set(
            ChannelListener<StreamSourceChannel> { source ->
                if (readAvailable(source)) source.suspendReads()
            },
        )
        channel.resumeReads()
    }

    /** Reads what has arrived and returns whether the body has ended, in full or rejected. */
    private fun readAvailable(channel: StreamSourceChannel): Boolean {
        val pooled = exchange.connection.byteBufferPool.allocate()
        try {
            while (true) {
                pooled.buffer.clear()
                val count = channel.read(pooled.buffer)
                if (count == 0) return false
                if (count < 0) return true.also { finish() }
                pooled.buffer.flip()
                val rejection = accept(pooled.buffer.remaining()) ?: run { null.also { content.write(pooled.buffer) } }
                if (rejection != null) return true.also { reject(rejection) }
            }
        } catch (_: IntakeExceededException) {
            return true.also { reject(RequestRejection.MALFORMED_BODY) }
        } catch (_: IOException) {
            return true.also { abort() }
        } finally {
            pooled.close()
        }
    }

    private fun accept(count: Int): RequestRejection? {
        val total = content.size + count
        if (total > maxBytes) return RequestRejection.BODY_TOO_LARGE
        if (total > reservedBytes) reservedBytes = minOf(maxBytes, roundUp(total))
        return if (connection.receiveBody(count, reservedBytes)) null else RequestRejection.NO_ROOM
    }

    private fun finish() = onReceived(if (content.size <= MAX_COPIED_BYTES) content.readByteString() else content.snapshot())

    private fun reject(rejection: RequestRejection) {
        content.clear()
        onRejected(rejection)
    }

    /** The client has closed its connection. */
    private fun abort() {
        content.clear()
        connection.release()
        exchange.connection.close()
    }

    private inner class AfterContinue : IoCallback {
        override fun onComplete(
            exchange: HttpServerExchange,
            sender: Sender?,
        ) = receive()

        override fun onException(
            exchange: HttpServerExchange,
            sender: Sender?,
            exception: IOException,
        ) = abort()
    }

    private companion object {
        // Room is asked for in steps, so that a body in small chunks costs few decisions.
        const val STEP_BYTES = 16L * 1024

        // A segment of a buffer is larger, so a small body is copied and its segment is used again.
        const val MAX_COPIED_BYTES = 2048L

        fun roundUp(bytes: Long) = (bytes + STEP_BYTES - 1) / STEP_BYTES * STEP_BYTES
    }
}
