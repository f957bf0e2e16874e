/*
 * Forwards a stream of server-sent events to the caller, complete events only. If the server fails, the stream may be
 * resumed on another server after the last complete event; the caller sees a single stream.
 */
package org.ragwortlever.daemon.gateway

import okio.BufferedSource
import org.ragwortlever.core.answer.EventBuffer
import org.ragwortlever.http.ChunkStream
import java.io.IOException

/** Supplies a stream that resumes after a failure and is notified of the stream's end. */
internal interface StreamSource {
    /** The server ended the stream regularly. */
    fun onCompleted()

    /** The caller closed the stream before its end. */
    fun onAbandoned()

    /**
     * Returns the stream of another server that resumes after the event [lastEventId], or null if there is none.
     *
     * @param hasSentHead whether the head of the response may already be on its way to the caller.
     */
    fun resume(
        failure: IOException,
        lastEventId: String?,
        hasSentHead: Boolean,
    ): BufferedSource?
}

/**
 * What was read of a stream that has ended.
 *
 * @property events number of complete events.
 */
internal data class StreamTotals(
    val bytes: Long,
    val events: Int,
)

/** A stream ended although its last event is incomplete, so its server has broken it off. */
internal class PartialEventException : IOException("the stream ended within an event")

/** The stream that the caller reads. Not thread-safe. */
internal class ForwardedEventStream(
    first: BufferedSource,
    private val source: StreamSource,
    private val onEnd: (StreamTotals) -> Unit,
) : ChunkStream() {
    private var events = first
    private var buffer = EventBuffer()
    private val chunk = ByteArray(READ_BYTES)
    private var forwardedBytes = 0L
    private var forwardedEvents = 0
    private var lastEventId: String? = null
    private var prefetched: ByteArray? = null
    private var hasSentHead = false
    private var isEnded = false

    /**
     * Reads the first events, before the head of the response is sent.
     *
     * @return false if the stream failed and can't be resumed; [StreamSource.resume] has then queued the final decision again.
     */
    fun prefetch(): Boolean {
        prefetched =
            try {
                readEvents()
            } catch (_: IOException) {
                return false
            }
        hasSentHead = true
        return true
    }

    override fun nextChunk(): ByteArray? {
        prefetched?.let {
            prefetched = null
            return it
        }
        return if (isEnded) null else readEvents()
    }

    override fun close() {
        if (!isEnded) source.onAbandoned()
        isEnded = true
    }

    /**
     * Returns the next complete events, or null at the end of the stream.
     *
     * @throws IOException if the stream failed and can't be resumed.
     */
    private fun readEvents(): ByteArray? {
        while (true) {
            try {
                val count = events.read(chunk)
                if (count < 0) return complete()
                takeCompleteEvents(count)?.let { return it }
            } catch (failure: IOException) {
                buffer = EventBuffer()
                events = source.resume(failure, lastEventId, hasSentHead) ?: throw failure.also { isEnded = true }
            }
        }
    }

    /** Ends the stream, whose body has ended by its framing. */
    private fun complete(): ByteArray? {
        if (buffer.hasPartialEvent) throw PartialEventException()
        isEnded = true
        source.onCompleted()
        onEnd(StreamTotals(forwardedBytes, forwardedEvents))
        return null
    }

    private fun takeCompleteEvents(count: Int): ByteArray? {
        val complete = buffer.append(chunk, count)
        if (complete == null) {
            if (buffer.size > MAX_EVENT_BYTES) throw AnswerTooLongException("an event exceeds the limit of $MAX_EVENT_BYTES bytes")
            return null
        }
        complete.ids.lastOrNull()?.let { lastEventId = it }
        forwardedBytes += complete.bytes.size
        forwardedEvents += complete.count
        return complete.bytes
    }

    private companion object {
        const val READ_BYTES = 8192
    }
}
