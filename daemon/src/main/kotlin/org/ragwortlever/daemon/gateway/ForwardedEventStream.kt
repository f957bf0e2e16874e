/*
 * Forwards a stream of server-sent events to the caller, complete events only. If the server fails, the stream may be
 * resumed on another server after the last complete event; the caller sees a single stream.
 */
package org.ragwortlever.daemon.gateway

import okio.BufferedSource
import org.ragwortlever.core.answer.AnswerFraming
import org.ragwortlever.core.answer.EventBuffer
import org.ragwortlever.core.answer.EventSequence
import org.ragwortlever.http.AnswerTooLongException
import org.ragwortlever.http.ChunkStream
import java.io.IOException

/** Supplies a stream that resumes after a failure and is notified of the stream's end. */
internal interface StreamSource {
    /** The stream has reached its end; [totals] is what was passed on. */
    fun onCompleted(totals: StreamTotals)

    /** The stream has failed after [totals] were passed on, and no other server continues it. */
    fun onBrokenOff(totals: StreamTotals)

    /** The caller closed the stream before its end. */
    fun onAbandoned()

    /**
     * Returns the stream of another server that resumes after the event [lastEventId], or null if there is none.
     *
     * @param lastEventId null if no event had an id.
     */
    fun resume(
        failure: IOException,
        lastEventId: String?,
    ): ServerEvents?
}

/** The events that one server sends of a stream; [framing] tells how their end is marked. */
internal class ServerEvents(
    val source: BufferedSource,
    val framing: AnswerFraming,
)

/** What was passed on of a stream: [events] complete events of together [bytes] bytes. */
internal data class StreamTotals(
    val bytes: Long,
    val events: Int,
)

/** The body of a stream ended without showing that the stream is complete, so its server may have broken it off. */
internal class IncompleteStreamException(
    reason: String,
) : IOException(reason)

/** The events of a stream do not follow each other; its server is faulty or did not continue where it was asked to. */
internal class EventOrderException(
    reason: String,
) : IOException(reason)

/** The stream that the caller reads. It holds [memory] for incomplete events until it is closed. Not thread-safe. */
internal class ForwardedEventStream(
    first: ServerEvents,
    private val source: StreamSource,
    private val memory: ResponseMemory.Reservation,
) : ChunkStream() {
    private var events = first
    private var buffer = EventBuffer()
    private var hasServerSentEvents = false
    private val chunk = ByteArray(READ_BYTES)
    private var forwardedBytes = 0L
    private var forwardedEvents = 0
    private val sequence = EventSequence()
    private var prefetched: ByteArray? = null
    private var hasSentHead = false
    private var isEnded = false
    private val totals get() = StreamTotals(forwardedBytes, forwardedEvents)

    /**
     * Reads the first events, before the head of the response is sent.
     *
     * @throws IOException if the stream failed before its first event was complete; it is not resumed then, because
     *   another server's answer has a head of its own.
     */
    fun prefetch() {
        prefetched = readEvents()
        hasSentHead = true
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
        memory.close()
    }

    /**
     * Returns the next complete events, or null at the end of the stream.
     *
     * @throws IOException if the stream failed and can't be resumed.
     */
    private fun readEvents(): ByteArray? {
        while (true) {
            try {
                val count = events.source.read(chunk)
                if (count < 0) return complete()
                takeCompleteEvents(count)?.let { return it }
            } catch (failure: IOException) {
                if (!hasSentHead) throw failure.also { isEnded = true }
                buffer = EventBuffer()
                hasServerSentEvents = false
                sequence.continueFromOtherServer()
                events = source.resume(failure, sequence.lastId) ?: throw failure.also { breakOff() }
            }
        }
    }

    /** Ends the stream, whose body has ended by its framing. */
    private fun complete(): ByteArray? {
        buffer.checkEnd(events.framing, hasServerSentEvents)
        isEnded = true
        source.onCompleted(totals)
        return null
    }

    private fun breakOff() {
        isEnded = true
        source.onBrokenOff(totals)
    }

    private fun takeCompleteEvents(count: Int): ByteArray? {
        val complete = buffer.append(chunk, count)
        if (complete == null) {
            if (buffer.size > MAX_EVENT_BYTES) throw AnswerTooLongException("an event exceeds the limit of $MAX_EVENT_BYTES bytes")
            // The buffer doubles its size when it is full.
            memory.growTo(2L * buffer.size)
            return null
        }
        sequence.append(complete.ids)?.let { throw EventOrderException(it) }
        if (complete.ids.isNotEmpty()) hasServerSentEvents = true
        forwardedBytes += complete.bytes.size
        forwardedEvents += complete.ids.size
        return complete.bytes
    }

    private companion object {
        const val READ_BYTES = 8192
    }
}

/**
 * Checks that a stream whose body has ended may be complete.
 *
 * @param hasEvents whether the server has sent a complete event. Without one, a body that ends with its connection is an
 *   answer that stopped after its head.
 * @throws IncompleteStreamException if it is not.
 */
internal fun EventBuffer.checkEnd(
    framing: AnswerFraming,
    hasEvents: Boolean,
) {
    if (hasPartialEvent) throw IncompleteStreamException("the stream ended within an event")
    if (framing == AnswerFraming.CLOSE &&
        !hasEvents
    ) {
        throw IncompleteStreamException("the stream ended with its connection before any event")
    }
}
