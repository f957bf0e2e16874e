/*
 * Forwards a stream of server-sent events to the caller, complete events only. If the server fails, the stream may be
 * resumed on another server after the last complete event; the caller sees a single stream.
 */
package org.ragwortlever.daemon.gateway

import okio.Buffer
import okio.BufferedSource
import okio.ByteString
import okio.ByteString.Companion.encodeUtf8
import org.ragwortlever.core.route.Route
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
 * @property unfinishedBytes bytes after the last complete event.
 */
internal data class StreamTotals(
    val bytes: Long,
    val unfinishedBytes: Long,
)

/** The stream that the caller reads. Not thread-safe. */
internal class ForwardedEventStream(
    first: BufferedSource,
    private val route: Route,
    private val source: StreamSource,
    private val onEnd: (StreamTotals) -> Unit,
) : ChunkStream() {
    private var events = first
    private val pending = Buffer()
    private var bytesRead = 0L

    /** Number of bytes at the start of [pending] that are known to contain no end of an event. */
    private var searchedBytes = 0L
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
                val count = events.read(pending, READ_BYTES)
                if (count < 0) return complete()
                bytesRead += count
                takeCompleteEvents()?.let { return it }
            } catch (failure: IOException) {
                pending.clear()
                searchedBytes = 0
                events = source.resume(failure, lastEventId, hasSentHead) ?: throw failure.also { isEnded = true }
            }
        }
    }

    private fun complete(): ByteArray? {
        isEnded = true
        source.onCompleted()
        onEnd(StreamTotals(bytesRead, unfinishedBytes = pending.size))
        return if (pending.size == 0L) null else pending.readByteArray()
    }

    /** Removes the complete events from [pending]; null if there are none. Skips bytes that an earlier call has searched. */
    private fun takeCompleteEvents(): ByteArray? {
        val end = maxOf(findEndOfLast(EVENT_END), findEndOfLast(EVENT_END_CRLF))
        searchedBytes = maxOf(0, pending.size - end - EVENT_END_CRLF.size)
        if (end == 0L) {
            if (pending.size > MAX_EVENT_BYTES) throw AnswerTooLongException("an event exceeds the limit of $MAX_EVENT_BYTES bytes")
            return null
        }
        val whole = pending.readByteArray(end)
        if (route.isResumable) findLastEventId(whole)?.let { lastEventId = it }
        return whole
    }

    /** Returns the offset after the last [mark] in the bytes that have not been searched yet; 0 if there is none. */
    private fun findEndOfLast(mark: ByteString): Long =
        generateSequence(pending.indexOf(mark, searchedBytes)) { pending.indexOf(mark, it + mark.size) }
            .takeWhile { it >= 0 }
            .lastOrNull()
            ?.plus(mark.size) ?: 0

    private companion object {
        const val READ_BYTES = 8192L
        val EVENT_END = "\n\n".encodeUtf8()
        val EVENT_END_CRLF = "\r\n\r\n".encodeUtf8()
    }
}

/** Returns the value of the last `id` field in [events]; null if there is none. */
private fun findLastEventId(events: ByteArray): String? =
    String(events)
        .lineSequence()
        .filter { it.startsWith("id:") }
        .lastOrNull()
        ?.removePrefix("id:")
        ?.trim()
