/*
 * Passes a stream of server-sent events on, whole events only. When the server breaks off, the stream may go on at
 * another server after the last whole event; the caller sees one stream.
 */
package org.ragwortlever.daemon.gateway

import okio.Buffer
import okio.BufferedSource
import okio.ByteString
import okio.ByteString.Companion.encodeUtf8
import org.ragwortlever.core.route.Route
import org.ragwortlever.http.ChunkStream
import java.io.IOException

/** Where the events come from, and who learns how the stream isEnded. */
internal interface StreamSource {
    fun onCompleted()

    /** The caller stopped reading, or the stream can't go on. */
    fun onAbandoned()

    /** The stream of another server that goes on after [lastEventId]; null if there is none. */
    fun resume(
        failure: IOException,
        lastEventId: String?,
        hasSentHead: Boolean,
    ): BufferedSource?
}

/** The caller's side of a stream. */
internal class ForwardedEventStream(
    first: BufferedSource,
    private val route: Route,
    private val source: StreamSource,
    private val onEnd: () -> Unit,
) : ChunkStream() {
    private var events = first
    private val pending = Buffer()

    /** Bytes at the start of [pending] in which no event ends. */
    private var searchedBytes = 0L
    private var lastEventId: String? = null
    private var prefetched: ByteArray? = null
    private var hasSentHead = false
    private var isEnded = false

    /** Reads the first events; false when the stream can't begin, and the submitted then holds the last decision. */
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

    /** The next whole events; an [IOException] when the stream broke off for good. */
    private fun readEvents(): ByteArray? {
        while (true) {
            try {
                val count = events.read(pending, READ_BYTES)
                if (count < 0) return complete()
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
        onEnd()
        return if (pending.size == 0L) null else pending.readByteArray()
    }

    /** Takes the events that are whole; bytes that were searchedBytes before are not searchedBytes again. */
    private fun takeCompleteEvents(): ByteArray? {
        val end = maxOf(findEndOfLast(EVENT_END), findEndOfLast(EVENT_END_CRLF))
        searchedBytes = maxOf(0, pending.size - end - EVENT_END_CRLF.size)
        if (end == 0L) {
            if (pending.size > MAX_EVENT_BYTES) throw AnswerTooLongException("an event is longer than $MAX_EVENT_BYTES bytes")
            return null
        }
        val whole = pending.readByteArray(end)
        if (route.isResumable) findLastEventId(whole)?.let { lastEventId = it }
        return whole
    }

    /** Where the last [mark] in the bytes that were not searchedBytes yet ends; 0 when there is none. */
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

/** The value of the last `id` field in [events]. */
private fun findLastEventId(events: ByteArray): String? =
    String(events)
        .lineSequence()
        .filter { it.startsWith("id:") }
        .lastOrNull()
        ?.removePrefix("id:")
        ?.trim()
