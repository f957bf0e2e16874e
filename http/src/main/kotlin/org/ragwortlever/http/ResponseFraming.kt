/*
 * Follows the framing of HTTP/1.1 responses (RFC 9112, sections 6 and 7) in the bytes that a connection receives. OkHttp
 * reads the lines between the chunks of a body up to the next line feed, however far away it is, and ignores their content
 * after a chunk. A part of a body could then pass for the whole.
 */
package org.ragwortlever.http

/**
 * The framing of the responses on one connection, of which [accept] gets all bytes. Not thread-safe.
 *
 * Between [beginResponse] and the end of the response the bytes belong to it, all others to no response.
 */
internal class ResponseFraming {
    private var state = State.COMPLETE
    private val line = FramingLine()
    private var head = ResponseHead(method = "")
    private var remainingLineBytes = 0
    private var remainingBodyBytes = 0L

    /** Whether the last response has ended, so that further bytes belong to no response. */
    val isComplete: Boolean get() = state == State.COMPLETE

    /** Why the bytes after those that [accept] has returned are no part of a response; null if there were none. */
    var fault: MalformedResponseException? = null
        private set

    /** From now on the bytes are the response to a request with this [method]. */
    fun beginResponse(method: String) {
        head = ResponseHead(method)
        beginLines(State.HEAD, MAX_HEAD_BYTES)
    }

    /** Follows the [count] bytes at [offset] of [bytes] and returns how many of them belong to the response; 0 after a [fault]. */
    fun accept(
        bytes: ByteArray,
        offset: Int,
        count: Int,
    ): Int {
        val end = offset + count
        var position = offset
        while (position < end && !isComplete && fault == null) {
            try {
                position += if (state.isLine) acceptLineByte(bytes[position]) else acceptBody(end - position)
            } catch (failure: MalformedResponseException) {
                fault = failure
            }
        }
        if (position < end && fault == null) fault = MalformedResponseException("the server sent bytes that belong to no response")
        return position - offset
    }

    private fun acceptBody(available: Int): Int {
        if (state == State.BODY_UNTIL_CLOSE) return available
        val count = minOf(available.toLong(), remainingBodyBytes)
        remainingBodyBytes -= count
        if (remainingBodyBytes == 0L) endBody()
        return count.toInt()
    }

    private fun endBody() = if (state == State.CHUNK_DATA) beginLines(State.CHUNK_END, LINE_END_BYTES) else state = State.COMPLETE

    /** Follows a byte outside of the body and returns 1. */
    private fun acceptLineByte(byte: Byte): Int {
        if (--remainingLineBytes < 0) throw MalformedResponseException("${state.description} exceeds its size limit")
        when {
            state == State.CHUNK_END -> acceptChunkEnd(byte)
            byte == LINE_FEED -> endLine(line.take())
            else -> line.append(byte)
        }
        return 1
    }

    private fun acceptChunkEnd(byte: Byte) {
        val expected = if (remainingLineBytes > 0) CARRIAGE_RETURN else LINE_FEED
        if (byte != expected) throw MalformedResponseException("a chunk is longer than its size")
        if (remainingLineBytes == 0) beginLines(State.CHUNK_SIZE, MAX_CHUNK_LINE_BYTES)
    }

    /** Follows the end of the line [text], which lacks its line feed. Only in a head may a line end without CR. */
    private fun endLine(text: String) {
        val content = text.removeSuffix("\r")
        if (state == State.HEAD) return if (content.isEmpty()) endHead() else head.addLine(content)
        if (content == text) throw MalformedResponseException("${state.description} does not end with CRLF")
        if (state == State.CHUNK_SIZE) beginChunk(content) else endTrailer(content)
    }

    private fun endTrailer(content: String) {
        if (content.isEmpty()) {
            state = State.COMPLETE
        } else if (!content.isFieldLine()) {
            throw MalformedResponseException("the trailer has an invalid line")
        }
    }

    private fun endHead() {
        when (val body = head.body()) {
            // The limit on bytes holds for all heads of a response together, so that it ends interim responses as well.
            ResponseBodyFraming.Interim -> head = ResponseHead(head.method)
            ResponseBodyFraming.None -> state = State.COMPLETE
            ResponseBodyFraming.Chunked -> beginLines(State.CHUNK_SIZE, MAX_CHUNK_LINE_BYTES)
            ResponseBodyFraming.UntilClose -> state = State.BODY_UNTIL_CLOSE
            is ResponseBodyFraming.Length -> beginBody(State.BODY_WITH_LENGTH, body.bytes)
        }
    }

    private fun beginChunk(sizeLine: String) {
        val size = parseChunkSize(sizeLine) ?: throw MalformedResponseException("a chunk has an invalid size")
        if (size == 0L) beginLines(State.TRAILERS, MAX_TRAILER_BYTES) else beginBody(State.CHUNK_DATA, size)
    }

    private fun beginBody(
        next: State,
        bytes: Long,
    ) {
        remainingBodyBytes = bytes
        state = next
        if (bytes == 0L) endBody()
    }

    private fun beginLines(
        next: State,
        maximumBytes: Int,
    ) {
        state = next
        remainingLineBytes = maximumBytes
    }

    private enum class State(
        val description: String,
        val isLine: Boolean,
    ) {
        HEAD("the head of the response", true),
        CHUNK_SIZE("the size line of a chunk", true),
        CHUNK_END("the line end after a chunk", true),
        TRAILERS("the trailer of the response", true),
        BODY_WITH_LENGTH("the body", false),
        CHUNK_DATA("a chunk", false),
        BODY_UNTIL_CLOSE("the body", false),
        COMPLETE("the end of the response", false),
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val LINE_END_BYTES = 2
        const val MAX_HEAD_BYTES = 64 * 1024
        const val MAX_TRAILER_BYTES = 16 * 1024
        const val MAX_CHUNK_LINE_BYTES = 1024
    }
}

/** Returns the size in bytes that the size line of a chunk gives; null if the line is malformed. Extensions are ignored. */
internal fun parseChunkSize(line: String): Long? {
    val digits = line.takeWhile { it in '0'..'9' || it in 'a'..'f' || it in 'A'..'F' }
    val rest = line.drop(digits.length).trimStart(' ', '\t')
    return if (rest.isEmpty() || rest.startsWith(';')) digits.toLongOrNull(HEXADECIMAL) else null
}

private const val HEXADECIMAL = 16
