/*
 * Bounds the memory that the responses of all requests hold together. The limits on one answer and one event don't: a
 * server that sends bytes without end to each of a hundred requests fills the heap within them.
 */
package org.ragwortlever.daemon.gateway

import org.ragwortlever.http.AnswerTooLongException
import java.util.concurrent.atomic.AtomicLong

/** Limit for a response that is buffered completely before its first byte is sent to the caller. */
internal const val MAX_ANSWER_BYTES: Long = 2L * 1024 * 1024

/** Limit for one server-sent event. A model engine's event holds a few tokens of text, so a longer one is a fault. */
internal const val MAX_EVENT_BYTES: Long = 256L * 1024

/**
 * Memory for responses, of which all [Reservation]s together get [limitBytes]. Thread-safe.
 *
 * Each reservation has [UNCOUNTED_BYTES] besides, so that responses of ordinary size never fail because of large ones.
 */
internal class ResponseMemory(
    private val limitBytes: Long = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR,
) {
    private val reserved = AtomicLong()

    /** Bytes that are reserved now, without the uncounted ones. */
    val reservedBytes: Long get() = reserved.get()

    /** Starts a reservation of no bytes. */
    fun open() = Reservation()

    /** The memory of one response. Not thread-safe. */
    inner class Reservation : AutoCloseable {
        private var countedBytes = 0L

        /**
         * Reserves [bytes] altogether for this response, if it has not reserved more already.
         *
         * @throws AnswerTooLongException if all responses together would exceed the limit.
         */
        fun growTo(bytes: Long) {
            val growth = bytes - UNCOUNTED_BYTES - countedBytes
            if (growth <= 0) return
            if (reserved.addAndGet(growth) > limitBytes) {
                reserved.addAndGet(-growth)
                throw AnswerTooLongException("the responses of all requests together exceed the limit of $limitBytes bytes")
            }
            countedBytes += growth
        }

        /** Gives the memory back. A second call has no effect. */
        override fun close() {
            reserved.addAndGet(-countedBytes)
            countedBytes = 0
        }
    }

    companion object {
        /** Bytes of each response that don't count. */
        const val UNCOUNTED_BYTES = 32L * 1024
        private const val HEAP_DIVISOR = 3
    }
}
