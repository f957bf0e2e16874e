/*
 * Runs http4k handlers on Undertow. This adapter replaces http4k's own Undertow module, which is not available from the
 * registry. A request is received in full before its handler gets a thread; response bodies are streamed: one of unknown
 * length is copied chunk by chunk, and each chunk is flushed, so that the caller gets what its source has produced so far.
 */
package org.ragwortlever.http

import com.sun.management.UnixOperatingSystemMXBean
import io.undertow.server.AbstractServerConnection
import io.undertow.server.HttpServerExchange
import io.undertow.server.handlers.BlockingHandler
import io.undertow.util.Headers
import io.undertow.util.HttpString
import org.http4k.core.Body
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.RequestSource
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.core.Uri
import org.http4k.server.Http4kServer
import org.http4k.server.ServerConfig
import org.http4k.server.ServerConfig.StopMode
import org.ragwortlever.core.intake.IntakeLimits
import org.ragwortlever.core.intake.RequestRejection
import org.xnio.Options
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.lang.management.ManagementFactory
import java.net.URI
import kotlin.concurrent.thread
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds

/**
 * Limits for the connections and requests of a server.
 *
 * @property maxHeaderBytes maximum total size of a request's headers, in bytes.
 * @property maxBodyBytes maximum size of a request's body, in bytes; a listener can have its own.
 * @property idleTimeoutMilliseconds how long a connection may stay idle between requests, in milliseconds.
 * @property workerThreads number of threads that run handlers; each running request occupies one.
 */
data class HttpLimits(
    val maxHeaderBytes: Int = 32 * 1024,
    val maxBodyBytes: Long = 8L * 1024 * 1024,
    val idleTimeoutMilliseconds: Int = 60_000,
    val workerThreads: Int = 256,
)

/** Configures an http4k server that runs on Undertow; port 0 selects an ephemeral port. */
class UndertowServer(
    private val host: String,
    private val port: Int,
    private val limits: HttpLimits = HttpLimits(),
) : ServerConfig {
    override val stopMode: StopMode = StopMode.Immediate

    override fun toServer(http: HttpHandler): Http4kServer = UndertowListeners(listOf(HttpListener(host, port, http)), limits)
}

/**
 * An address to listen on and the handler for its requests.
 *
 * @property isNonBlocking whether the handler never blocks; it then runs on the connection's I/O thread and responds
 *   even while all worker threads are busy. It gets no bodies.
 * @property isInternal whether only the system's own processes connect; their connections are counted apart from others.
 * @property maxBodyBytes maximum size of a request's body, in bytes, read for each request; null for that of the server.
 * @property reject returns the response to a request that is not accepted; runs on an I/O thread and must not block.
 */
class HttpListener(
    val host: String,
    val port: Int,
    val handler: HttpHandler,
    val isNonBlocking: Boolean = false,
    val isInternal: Boolean = false,
    val maxBodyBytes: (() -> Long)? = null,
    val reject: (Request, RequestRejection) -> Response = { _, rejection -> rejection.toPlainResponse() },
)

/**
 * A server with several listeners that share its threads; [port] returns the port of the first one.
 *
 * @param intake what the clients of the listeners may make the process hold; null for limits that suit the process.
 */
class UndertowListeners(
    private val listeners: List<HttpListener>,
    private val limits: HttpLimits,
    private val intake: (() -> IntakeLimits)? = null,
    private val observer: IntakeObserver = object : IntakeObserver {},
) : Http4kServer {
    private val clients = connections(intake ?: ::intakeOfProcess, observer)
    private val internals = connections(::intakeOfProcess, object : IntakeObserver {})
    private val sockets = ServerSockets(limits)

    @Volatile
    private var isStopped = false
    private var sweeper: Thread? = null

    /** Number of open connections of clients. */
    val openConnections: Int get() = clients.openConnections

    /** Bytes that the requests of clients hold together. */
    val reservedBytes: Long get() = clients.reservedBytes

    override fun start(): Http4kServer =
        apply {
            sweeper = thread(isDaemon = true, name = "connection-sweeper", block = ::sweep)
            listeners.forEach { listener ->
                val connections = if (listener.isInternal) internals else clients
                sockets.listen(listener.host, listener.port, connections, listener.rootHandler(connections, limits))
            }
        }

    override fun stop(): Http4kServer =
        apply {
            isStopped = true
            sweeper?.interrupt()
            sockets.close()
        }

    override fun port(): Int = sockets.firstPort

    private fun sweep() {
        while (!isStopped) {
            try {
                Thread.sleep(SWEEP_INTERVAL.inWholeMilliseconds)
            } catch (_: InterruptedException) {
                return
            }
            clients.sweep()
            internals.sweep()
        }
    }

    private fun connections(
        limitsOfIntake: () -> IntakeLimits,
        observer: IntakeObserver,
    ) = ClientConnections(limitsOfIntake, limits.maxHeaderBytes + UNFRAMED_MARGIN_BYTES, observer) { Clock.System.now() }

    private fun intakeOfProcess() =
        IntakeLimits.of(Runtime.getRuntime().maxMemory(), maxDescriptors, limits.maxBodyBytes)

    private companion object {
        // The line of a request, and one buffer that holds the begin of what follows.
        const val UNFRAMED_MARGIN_BYTES = 20 * 1024

        // Each turn wakes the process; the shortest time that is watched is two seconds.
        val SWEEP_INTERVAL = 1.seconds
    }
}

/** File descriptors that this process may open. */
val maxDescriptors: Long by lazy {
    (ManagementFactory.getOperatingSystemMXBean() as? UnixOperatingSystemMXBean)?.maxFileDescriptorCount ?: DEFAULT_DESCRIPTORS
}

private const val DEFAULT_DESCRIPTORS = 1024L

private fun HttpListener.rootHandler(
    connections: ClientConnections,
    limits: HttpLimits,
): io.undertow.server.HttpHandler {
    return io.undertow.server.HttpHandler { exchange ->
        connections.track(exchange) { connection ->
            when {
                isNonBlocking -> exchange.handleOnIoThread(handler)
                exchange.hasAmbiguousFraming() -> exchange.rejectAmbiguousFraming()
                exchange.isRequestComplete -> exchange.dispatchTo(handler, Body.EMPTY, connection, connections)
                else -> receiveBody(exchange, connection, connections, limits)
            }
        }
    }
}

/** Runs [handle] for the request of [exchange], and gives back what the request holds at its end. */
private fun ClientConnections.track(
    exchange: HttpServerExchange,
    handle: (ClientConnectionState) -> Unit,
) {
    val connection = of(exchange) ?: return exchange.connection.close()
    exchange.addExchangeCompleteListener { _, next ->
        connection.release()
        next.proceed()
    }
    handle(connection)
}

private fun HttpListener.receiveBody(
    exchange: HttpServerExchange,
    connection: ClientConnectionState,
    connections: ClientConnections,
    limits: HttpLimits,
) {
    val maxBytes = maxBodyBytes?.invoke() ?: limits.maxBodyBytes
    BodyReceiver(
        exchange,
        connection,
        maxBytes,
        onReceived = { content -> exchange.dispatchTo(handler, ReceivedBody(content), connection, connections) },
        onRejected = { rejection ->
            connections.observer.onRejected(rejection)
            connection.discardUpTo(maxBytes)
            exchange.sendRejection { reject(exchange.toRequest(Body.EMPTY), rejection) }
        },
    ).start()
}

/** Runs [handler] for the request, whose [body] has been received, on a worker thread. */
private fun HttpServerExchange.dispatchTo(
    handler: HttpHandler,
    body: Body,
    connection: ClientConnectionState,
    connections: ClientConnections,
) {
    connection.complete()
    connections.waitingRequests.incrementAndGet()
    val blocking =
        BlockingHandler { exchange ->
            connections.waitingRequests.decrementAndGet()
            CallerWatch.runWatched(exchange, connection.requestStartNanoseconds) { exchange.handleStreaming(handler, body) }
        }
    dispatch(blocking)
}

/** Sends the response that [respond] returns and closes the connection, since the rest of the request is not read. */
private fun HttpServerExchange.sendRejection(respond: () -> Response) {
    val response = runCatching(respond).getOrElse { return connection.close() }
    statusCode = response.status.code
    response.headers.forEach { (name, value) -> responseHeaders.add(HttpString(name), value.orEmpty()) }
    isPersistent = false
    responseHeaders.put(Headers.CONNECTION, "close")
    responseSender.send(response.bodyString())
}

private fun RequestRejection.toPlainResponse(): Response =
    when (this) {
        RequestRejection.BODY_TOO_LARGE -> Response(Status.REQUEST_ENTITY_TOO_LARGE)
        RequestRejection.MALFORMED_BODY -> Response(Status.BAD_REQUEST)
        RequestRejection.NO_ROOM -> Response(Status.SERVICE_UNAVAILABLE).header("Retry-After", "1")
    }

/** Runs a non-blocking handler on the connection's I/O thread and sends its response, whose body is in memory. */
private fun HttpServerExchange.handleOnIoThread(http: HttpHandler) {
    val response = http(toRequest(Body.EMPTY))
    statusCode = response.status.code
    response.headers.forEach { (name, value) -> responseHeaders.add(HttpString(name), value.orEmpty()) }
    responseSender.send(response.bodyString())
}

/** Responds with 400 and closes the connection, because later bytes on it cannot be told apart from the body. */
private fun HttpServerExchange.rejectAmbiguousFraming() {
    statusCode = BAD_REQUEST
    isPersistent = false
    responseHeaders.put(HttpString("Connection"), "close")
    endExchange()
}

/** Runs a handler on a worker thread and streams the response's body. */
private fun HttpServerExchange.handleStreaming(
    http: HttpHandler,
    content: Body,
) {
    val response =
        try {
            http(toRequest(content))
        } catch (_: IOException) {
            // The handler has no response, so the connection is closed: a caller would take an error response for the handler's.
            connection.close()
            return
        }
    response.body.use { body ->
        statusCode = response.status.code
        response.headers.forEach { (name, value) -> responseHeaders.add(HttpString(name), value.orEmpty()) }
        frameBody(body.length)
        // The output is closed before the body, so a closed body means that the whole response is being sent.
        runCatching {
            // With a known body length, Undertow ends the exchange at the last byte, before the output is closed.
            if (body.length != null) CallerWatch.current?.stop()
            body.stream.copyAndFlush(outputStream, flushEachChunk = body.length == null)
            CallerWatch.current?.stop()
            outputStream.close()
        }.onFailure { failure ->
            breakOff()
            // An IOException means that the body's source has failed or that the caller has disconnected.
            if (failure !is IOException) throw failure
        }
    }
}

/**
 * Marks the end of the response's body. Without an own choice Undertow lets the body end with the connection if that is
 * not kept, and a process that is killed would end it alike.
 */
private fun HttpServerExchange.frameBody(length: Long?) {
    if (length != null) {
        responseContentLength = length
    } else if (isHttp11) {
        responseHeaders.put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString())
    }
}

/**
 * Closes the connection so that the caller sees that the response is incomplete. A response whose end is marked by
 * neither a length nor chunks ends with the connection, so it is reset.
 */
private fun HttpServerExchange.breakOff() {
    val isEndMarked = responseHeaders.contains(Headers.CONTENT_LENGTH) || responseHeaders.contains(Headers.TRANSFER_ENCODING)
    if (!isEndMarked) (connection as AbstractServerConnection).channel.setOption(Options.CLOSE_ABORT, true)
    connection.close()
}

private fun HttpServerExchange.toRequest(content: Body): Request =
    requestHeaders
        .flatMap { values -> values.map { values.headerName.toString() to it } }
        .fold(
            Request(Method.valueOf(requestMethod.toString()), Uri("", "", "", null, undecodedPath(), queryString, ""))
                .body(content)
                .source(RequestSource(sourceAddress.hostString, sourceAddress.port)),
        ) { request, (name, value) -> request.header(name, value) }

/** Returns the path as it was sent, because decoding could hide an encoded slash, question mark or dot segment. */
private fun HttpServerExchange.undecodedPath(): String =
    if (isHostIncludedInRequestURI) URI(requestURI).rawPath.ifEmpty { "/" } else requestURI

private fun InputStream.copyAndFlush(
    output: OutputStream,
    flushEachChunk: Boolean,
) {
    val buffer = ByteArray(COPY_BUFFER_BYTES)
    while (true) {
        val count = read(buffer)
        if (count < 0) return
        output.write(buffer, 0, count)
        if (flushEachChunk) output.flush()
    }
}

private const val COPY_BUFFER_BYTES = 8192
private const val BAD_REQUEST = 400
