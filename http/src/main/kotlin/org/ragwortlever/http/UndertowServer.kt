/*
 * Runs http4k handlers on Undertow. This adapter replaces http4k's own Undertow module, which is not available from the
 * registry. Bodies are streamed in both directions: a response body of unknown length is copied chunk by chunk, and
 * each chunk is flushed, so that the caller gets what its source has produced so far.
 */
package org.ragwortlever.http

import io.undertow.Undertow
import io.undertow.UndertowOptions
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
import org.http4k.core.Uri
import org.http4k.server.Http4kServer
import org.http4k.server.ServerConfig
import org.http4k.server.ServerConfig.StopMode
import org.xnio.Options
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetSocketAddress
import java.net.URI

/**
 * Limits for the connections and requests of a server.
 *
 * @property maxHeaderBytes maximum total size of a request's headers, in bytes.
 * @property maxBodyBytes maximum size of a request's body, in bytes; checked by the handlers, not by the server.
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
 *   even while all worker threads are busy.
 */
data class HttpListener(
    val host: String,
    val port: Int,
    val handler: HttpHandler,
    val isNonBlocking: Boolean = false,
)

/** A server with several listeners that share its threads; [port] returns the port of the first one. */
class UndertowListeners(
    listeners: List<HttpListener>,
    limits: HttpLimits,
) : Http4kServer {
    private val undertow: Undertow =
        listeners
            .fold(Undertow.builder()) { builder, listener ->
                builder.addHttpListener(listener.port, listener.host, listener.rootHandler())
            }
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeaderBytes)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, limits.idleTimeoutMilliseconds)
            .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
            // Handlers get the path undecoded and reject what they do not support, each with its own error response.
            .setServerOption(UndertowOptions.DECODE_URL, false)
            .setServerOption(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
            .setIoThreads(IO_THREADS)
            .setWorkerThreads(limits.workerThreads)
            .build()

    override fun start(): Http4kServer = apply { undertow.start() }

    override fun stop(): Http4kServer = apply { undertow.stop() }

    override fun port(): Int = (undertow.listenerInfo.first().address as InetSocketAddress).port

    private companion object {
        const val IO_THREADS = 2
    }
}

private fun HttpListener.rootHandler(): io.undertow.server.HttpHandler {
    if (isNonBlocking) return io.undertow.server.HttpHandler { exchange -> exchange.handleOnIoThread(handler) }
    return BlockingHandler { exchange ->
        if (exchange.hasAmbiguousFraming()) {
            exchange.rejectAmbiguousFraming()
        } else {
            CallerWatch.runWatched(exchange) { exchange.handleStreaming(handler) }
        }
    }
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

/** Runs a handler on a worker thread and streams the request's and the response's body. */
private fun HttpServerExchange.handleStreaming(http: HttpHandler) {
    val response =
        try {
            http(toRequest(Body(inputStream, requestContentLength.takeIf { it >= 0 })))
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
