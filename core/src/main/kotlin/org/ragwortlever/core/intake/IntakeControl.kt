/*
 * Decides what the clients of one entry VM may make it hold: how many connections, and how many bytes of heads and
 * bodies. Clients may send anything, so each byte is asked for before it is kept and given back on every path. When
 * there is no room, requests that stand still are given up first, so that a client that stops just short of its end
 * can't keep others out; small requests have a share of their own, and no address gets all.
 */
package org.ragwortlever.core.intake

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Not thread-safe.
 *
 * @param limits read at each decision, because a new configuration can change them.
 */
class IntakeControl(
    private val limits: () -> IntakeLimits,
) {
    private val connections = LinkedHashMap<ConnectionId, ClientConnection>()
    private val bytesByAddress = HashMap<String, Long>()
    private var largeBytes = 0L

    /** Bytes that all requests hold together. */
    var reservedBytes = 0L
        private set

    /** Number of open connections. */
    val openConnections: Int get() = connections.size

    /** A client at [address] has connected. */
    fun open(
        id: ConnectionId,
        address: String,
        now: Instant,
    ): IntakeDecision {
        val closed = ArrayList<ConnectionId>()
        if (connections.size >= limits().connections) {
            closed += findIdlest(now)?.id ?: return IntakeDecision.Full()
            closed.forEach(::close)
        }
        connections[id] = ClientConnection(id, address, now)
        return IntakeDecision.Accepted(closed)
    }

    /** Bytes of the head of the next request have arrived on the connection [id]. */
    fun receiveHead(
        id: ConnectionId,
        bytes: Int,
        now: Instant,
    ): IntakeDecision {
        val connection = connections[id] ?: return IntakeDecision.Full()
        if (connection.stage == ClientConnection.Stage.IDLE) connection.enter(ClientConnection.Stage.HEAD, now)
        connection.headBytes += bytes
        connection.recordReceived(bytes.toLong(), now)
        return reserve(connection, connection.headBytes, now)
    }

    /** The body of the request on the connection [id] begins; [announcedBytes] is 0 if its length is not known. */
    fun beginBody(
        id: ConnectionId,
        announcedBytes: Long,
        now: Instant,
    ): IntakeDecision {
        val connection = connections[id] ?: return IntakeDecision.Full()
        connection.enter(ClientConnection.Stage.BODY, now)
        return reserve(connection, connection.headBytes + announcedBytes, now)
    }

    /**
     * Bytes of the body have arrived on the connection [id].
     *
     * @param totalBytes bytes that the body holds now.
     */
    fun receiveBody(
        id: ConnectionId,
        bytes: Int,
        totalBytes: Long,
        now: Instant,
    ): IntakeDecision {
        val connection = connections[id] ?: return IntakeDecision.Full()
        connection.recordReceived(bytes.toLong(), now)
        return reserve(connection, connection.headBytes + totalBytes, now)
    }

    /** The request on the connection [id] has been received in full. */
    fun complete(
        id: ConnectionId,
        now: Instant,
    ) {
        connections[id]?.enter(ClientConnection.Stage.RUNNING, now)
    }

    /** The request on the connection [id] has been answered, or refused. */
    fun release(
        id: ConnectionId,
        now: Instant,
    ) {
        val connection = connections[id] ?: return
        setReserved(connection, 0)
        connection.recordUnblockedWrite()
        connection.enter(ClientConnection.Stage.IDLE, now)
    }

    /** The client has accepted only [acceptedBytes] of what was written on the connection [id]. */
    fun recordBlockedWrite(
        id: ConnectionId,
        acceptedBytes: Long,
        now: Instant,
    ) {
        connections[id]?.recordBlockedWrite(acceptedBytes, now)
    }

    /** The client has accepted all that was written on the connection [id]. */
    fun recordUnblockedWrite(id: ConnectionId) {
        connections[id]?.recordUnblockedWrite()
    }

    /** The connection [id] is closed. */
    fun close(id: ConnectionId) {
        val connection = connections[id] ?: return
        setReserved(connection, 0)
        connections.remove(id)
    }

    /**
     * Removes the connections that stand still and returns them.
     *
     * @param isSaturated whether requests wait for a thread; responses that their clients don't read are then ended sooner.
     */
    fun expire(
        isSaturated: Boolean,
        now: Instant,
    ): List<ExpiredConnection> {
        val current = limits()
        val writeTimeout: Duration = if (isSaturated) minOf(SATURATED_WRITE_TIMEOUT, current.idleTimeout) else current.idleTimeout
        val expired =
            connections.values.mapNotNull { connection ->
                connection.findCloseReason(current, writeTimeout, now)?.let { ExpiredConnection(connection.id, it) }
            }
        expired.forEach { close(it.id) }
        return expired
    }

    private fun reserve(
        connection: ClientConnection,
        bytes: Long,
        now: Instant,
    ): IntakeDecision {
        if (bytes <= connection.reservedBytes) return IntakeDecision.Accepted()
        val closed = ArrayList<ConnectionId>()
        while (!fits(connection, bytes)) {
            val victim = findStalled(connection, now) ?: return IntakeDecision.Full(closed)
            close(victim.id)
            closed += victim.id
        }
        setReserved(connection, bytes)
        return IntakeDecision.Accepted(closed)
    }

    private fun fits(
        connection: ClientConnection,
        bytes: Long,
    ): Boolean {
        val current = limits()
        val growth = bytes - connection.reservedBytes
        val isLarge = bytes > IntakeLimits.SMALL_REQUEST_BYTES
        val growthOfLarge = if (connection.isLarge) growth else bytes
        return reservedBytes + growth <= current.bytes &&
            (!isLarge || largeBytes + growthOfLarge <= current.bytesForLarge) &&
            (bytesByAddress[connection.address] ?: 0) + growth <= current.bytesPerAddress
    }

    private fun findStalled(
        except: ClientConnection,
        now: Instant,
    ): ClientConnection? {
        val stalled = connections.values.filter { it !== except && it.reservedBytes > 0 && it.isStalled(now) }
        return stalled.minByOrNull { it.idleSince }
    }

    /** The connection that has had no request for the longest time, or else the one whose request stands still. */
    private fun findIdlest(now: Instant): ClientConnection? {
        val idle = connections.values.filter { it.stage == ClientConnection.Stage.IDLE }
        return idle.minByOrNull { it.idleSince } ?: connections.values.filter { it.isStalled(now) }.minByOrNull { it.idleSince }
    }

    private fun setReserved(
        connection: ClientConnection,
        bytes: Long,
    ) {
        val growth = bytes - connection.reservedBytes
        if (connection.isLarge) largeBytes -= connection.reservedBytes
        connection.reservedBytes = bytes
        if (connection.isLarge) largeBytes += bytes
        reservedBytes += growth
        val ofAddress = (bytesByAddress[connection.address] ?: 0) + growth
        if (ofAddress == 0L) bytesByAddress.remove(connection.address) else bytesByAddress[connection.address] = ofAddress
    }

    private companion object {
        // Callers give up a stream after a pause of this length.
        val SATURATED_WRITE_TIMEOUT = 2.seconds
    }
}
