// One client connection, as its conduits and its requests see it.
package org.ragwortlever.http

import org.ragwortlever.core.intake.ConnectionId
import org.ragwortlever.core.intake.IntakeDecision
import org.xnio.StreamConnection
import java.io.IOException

/** A connection has sent more than the server accepts; it is closed. */
internal class IntakeExceededException(
    message: String,
) : IOException(message)

/** Thread-safe: a connection is read by one thread at a time, but another one may write. */
internal class ClientConnectionState(
    val id: ConnectionId,
    val connection: StreamConnection,
    private val connections: ClientConnections,
    private val maxUnframedBytes: Int,
) {
    /** Bytes that have arrived since the last byte of a body, or since the request began. */
    @Volatile
    private var unframedBytes = 0L

    @Volatile
    private var unframedLimit = maxUnframedBytes.toLong()

    @Volatile
    private var isReceivingHead = true

    @Volatile
    private var isWriteBlocked = false

    // Used by the connection's I/O thread alone.
    private var untoldBytes = 0
    private var reservedBodyBytes = 0L
    private var lastToldNanoseconds = 0L

    /** Time of the first byte of the request, in nanoseconds of the system's timer. */
    @Volatile
    var requestStartNanoseconds = System.nanoTime()
        private set

    /** Accounts for [count] bytes from the client. */
    fun recordRead(count: Long) {
        if (isReceivingHead && unframedBytes == 0L) requestStartNanoseconds = System.nanoTime()
        unframedBytes += count
        if (unframedBytes > unframedLimit) throw IntakeExceededException("the client sent $unframedBytes bytes that belong to no body")
        if (!isReceivingHead) return
        val decision = connections.decide { receiveHead(id, count.toInt(), connections.now()) }
        if (decision is IntakeDecision.Full) throw IntakeExceededException("there is no room for the head of the request")
    }

    /** The head of a request has been parsed, and its body begins. */
    fun beginBody(announcedBytes: Long): Boolean {
        isReceivingHead = false
        unframedBytes = 0
        untoldBytes = 0
        reservedBodyBytes = announcedBytes
        lastToldNanoseconds = System.nanoTime()
        return connections.decide { beginBody(id, announcedBytes, connections.now()) } is IntakeDecision.Accepted
    }

    /**
     * [count] bytes of the body have arrived, for which [totalBytes] are reserved in all; false if there is no room for them.
     *
     * Reads that need no more room are told together, since most bodies arrive in many small reads at once.
     */
    fun receiveBody(
        count: Int,
        totalBytes: Long,
    ): Boolean {
        unframedBytes = 0
        untoldBytes += count
        val nanoseconds = System.nanoTime()
        if (totalBytes <= reservedBodyBytes && nanoseconds - lastToldNanoseconds < TELL_INTERVAL_NANOSECONDS) return true
        val told = untoldBytes
        untoldBytes = 0
        lastToldNanoseconds = nanoseconds
        reservedBodyBytes = totalBytes
        return connections.decide { receiveBody(id, told, totalBytes, connections.now()) } is IntakeDecision.Accepted
    }

    /** The request has been received in full. */
    fun complete() {
        isReceivingHead = false
        unframedBytes = 0
        connections.record { complete(id, connections.now()) }
    }

    /** The rest of the request is read only to be dropped, so that the client sees the response; at most [bytes] of it. */
    fun discardUpTo(bytes: Long) {
        isReceivingHead = false
        unframedBytes = 0
        unframedLimit = bytes
    }

    /** The request has ended, and the connection may carry another one. */
    fun release() {
        isReceivingHead = true
        // A pipelined request may have arrived already, and is not read again.
        requestStartNanoseconds = System.nanoTime()
        unframedBytes = 0
        unframedLimit = maxUnframedBytes.toLong()
        connections.record { release(id, connections.now()) }
    }

    /** Accounts for a write of which the client accepted [count] bytes and has not accepted the rest. */
    fun recordBlockedWrite(count: Long) {
        isWriteBlocked = true
        connections.record { recordBlockedWrite(id, count, connections.now()) }
    }

    /** Accounts for a write that the client accepted in full. */
    fun recordFullWrite() {
        if (!isWriteBlocked) return
        isWriteBlocked = false
        connections.record { recordUnblockedWrite(id) }
    }

    private companion object {
        // Short against the second after which a request counts as stalled.
        const val TELL_INTERVAL_NANOSECONDS = 100_000_000L
    }
}
