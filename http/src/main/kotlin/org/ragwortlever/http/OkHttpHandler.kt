/*
 * Sends http4k requests with OkHttp. This adapter replaces http4k's own OkHttp module, which is not available from the
 * registry. Response bodies are passed on as open streams: the receiver of a response closes its body, which also
 * cancels an exchange that has not ended.
 */
package org.ragwortlever.http

import okhttp3.Call
import okhttp3.MediaType.Companion.toMediaTypeOrNull
import okhttp3.OkHttpClient
import okhttp3.RequestBody
import okhttp3.RequestBody.Companion.toRequestBody
import okio.BufferedSink
import okio.source
import org.http4k.core.HttpHandler
import org.http4k.core.MemoryBody
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.FilterInputStream
import java.io.IOException
import java.io.InputStream

/**
 * Sends each http4k request with an OkHttp client.
 *
 * A call throws [NotSentException] if no byte of the request was sent, and another [IOException] if the exchange fails
 * later but before the response's headers have arrived.
 */
class OkHttpHandler(
    client: OkHttpClient,
) : HttpHandler {
    private val client = client.newBuilder().trackSends().build()

    override fun invoke(request: Request): Response {
        val tracker = SendTracker()
        return tracker.track { client.newCall(tracker.attachTo(request.toOkHttp())).executeStreaming() }
    }
}

private fun Call.executeStreaming(): Response {
    val answer = execute()
    val headers = answer.headers.map { (name, value) -> name to value }
    val length = answer.body.contentLength().takeIf { it >= 0 }
    return Response(Status(answer.code, answer.message))
        .headers(headers)
        .body(CancellingStream(answer.body.byteStream(), this), length)
}

/** Cancels the call when it is closed before its end, so that the server learns at once that the rest is not read. */
private class CancellingStream(
    source: InputStream,
    private val call: Call,
) : FilterInputStream(source) {
    private var isAtEnd = false

    override fun read(): Int = super.read().also { if (it < 0) isAtEnd = true }

    override fun read(
        target: ByteArray,
        offset: Int,
        length: Int,
    ): Int = super.read(target, offset, length).also { if (it < 0) isAtEnd = true }

    override fun close() {
        if (!isAtEnd) call.cancel()
        runCatching { super.close() }
    }
}

private fun Request.toOkHttp(): okhttp3.Request {
    val builder = okhttp3.Request.Builder().url(uri.toString())
    headers.forEach { (name, value) -> builder.addHeader(name, value.orEmpty()) }
    return builder.method(method.name, okHttpBody()).build()
}

private fun Request.okHttpBody(): RequestBody? {
    val mediaType = header("Content-Type")?.toMediaTypeOrNull()
    val content = body
    return when {
        method == Method.GET || method == Method.HEAD -> null
        content is MemoryBody -> content.payload.array().toRequestBody(mediaType)
        else -> StreamingRequestBody(content.stream, content.length, mediaType)
    }
}

/** A body that is read from a stream and can be sent only once, so OkHttp must not repeat it on a second connection. */
private class StreamingRequestBody(
    private val source: InputStream,
    private val length: Long?,
    private val mediaType: okhttp3.MediaType?,
) : RequestBody() {
    override fun contentType(): okhttp3.MediaType? = mediaType

    override fun contentLength(): Long = length ?: -1

    override fun isOneShot(): Boolean = true

    override fun writeTo(sink: BufferedSink) {
        sink.writeAll(source.source())
    }
}
