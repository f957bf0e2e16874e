/*
 * The open connections of a server's clients. Carries out what the intake control decides about them, and watches their
 * bytes from the first one on, before the HTTP library has seen a request.
 */
package org.ragwortlever.http

import io.undertow.server.AbstractServerConnection
import io.undertow.server.HttpServerExchange
import org.ragwortlever.core.intake.CloseReason
import org.ragwortlever.core.intake.ConnectionId
import org.ragwortlever.core.intake.IntakeControl
import org.ragwortlever.core.intake.IntakeDecision
import org.ragwortlever.core.intake.IntakeLimits
import org.ragwortlever.core.intake.RequestRejection
import org.xnio.IoUtils
import org.xnio.StreamConnection
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Instant

/** Is told of connections and requests that a server does not serve. Called on any thread; must not block. */
interface IntakeObserver {
    fun onClosed(reason: CloseReason) = Unit

    fun onRejected(rejection: RequestRejection) = Unit
}

/**
 * Thread-safe.
 *
 * @param maxUnframedBytes how many bytes may arrive without a byte of a body among them: a head, or what lies between chunks.
 */
internal class ClientConnections(
    private val limits: () -> IntakeLimits,
    private val maxUnframedBytes: Int,
    val observer: IntakeObserver,
    private val now: () -> Instant,
) {
    private val control = IntakeControl(limits)
    private val byId = ConcurrentHashMap<ConnectionId, ClientConnectionState>()
    private val byConnection = ConcurrentHashMap<StreamConnection, ClientConnectionState>()
    private val nextNumber = AtomicLong()

    /** Requests that wait for a thread. */
    val waitingRequests = AtomicInteger()

    /** Number of connections that may be open now. */
    val maxConnections: Int get() = limits().connections

    /** Number of open connections. */
    val openConnections: Int get() = synchronized(control) { control.openConnections }

    /** Bytes that all requests hold together. */
    val reservedBytes: Long get() = synchronized(control) { control.reservedBytes }

    /** Closes connections that stand still, and forgets those that are closed. */
    fun sweep() {
        removeClosed()
        closeExpired()
    }

    /** Admits [connection]; false if there is no room for it, so that it has to be closed. */
    fun open(connection: StreamConnection): Boolean {
        val id = ConnectionId(nextNumber.incrementAndGet())
        val address = (connection.peerAddress as? InetSocketAddress)?.hostString.orEmpty()
        val decision = decide { open(id, address, now()) }
        if (decision is IntakeDecision.Full) return false
        val state = ClientConnectionState(id, connection, this, maxUnframedBytes)
        byId[id] = state
        byConnection[connection] = state
        connection.sourceChannel.conduit = MeteredSourceConduit(connection.sourceChannel.conduit, state)
        connection.sinkChannel.conduit = MeteredSinkConduit(connection.sinkChannel.conduit, state)
        return true
    }

    /** The connection that [exchange] came on. */
    fun of(exchange: HttpServerExchange): ClientConnectionState? = byConnection[(exchange.connection as AbstractServerConnection).channel]

    /** Takes one decision, and closes the connections that it gives up. */
    fun decide(decision: IntakeControl.() -> IntakeDecision): IntakeDecision =
        synchronized(control) { control.decision() }.also { decided -> decided.closed.forEach { close(it, CloseReason.ROOM_NEEDED) } }

    /** Tells the intake control what has happened. */
    fun record(event: IntakeControl.() -> Unit) = synchronized(control) { control.event() }

    fun now(): Instant = now.invoke()

    private fun close(
        id: ConnectionId,
        reason: CloseReason,
    ) {
        val state = remove(id) ?: return
        observer.onClosed(reason)
        state.connection.closeSoon()
    }

    private fun remove(id: ConnectionId): ClientConnectionState? = byId.remove(id)?.also { byConnection.remove(it.connection) }

    private fun removeClosed() {
        byId.values.filterNot { it.connection.isOpen }.forEach { state ->
            remove(state.id)
            record { close(state.id) }
        }
    }

    private fun closeExpired() {
        val isSaturated = waitingRequests.get() > 0
        synchronized(control) { control.expire(isSaturated, now()) }.forEach { close(it.id, it.reason) }
    }
}

/** Closes this connection on its I/O thread, which releases the descriptor only when it selects the next time. */
internal fun StreamConnection.closeSoon() = ioThread.execute { IoUtils.safeClose(this) }
