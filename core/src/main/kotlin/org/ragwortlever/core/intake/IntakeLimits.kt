// Limits on what the clients of one entry VM may make it hold.
package org.ragwortlever.core.intake

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * @property connections maximum number of open client connections.
 * @property bytes maximum number of bytes that all unanswered requests hold together: heads and bodies.
 * @property idleTimeout how long a request that is being received, or a response that is being sent, may stand still.
 * @property headTimeout how long the head of a request may take, from its first byte to its last.
 */
data class IntakeLimits(
    val connections: Int,
    val bytes: Long,
    val idleTimeout: Duration = 15.seconds,
    val headTimeout: Duration = 12.seconds,
) {
    /** Bytes for requests above [SMALL_REQUEST_BYTES]; the rest is left to small requests. */
    val bytesForLarge: Long get() = bytes - bytes / SMALL_SHARE_DIVISOR

    /** Bytes for the requests of one client address. */
    val bytesPerAddress: Long get() = bytes - bytes / ADDRESS_SHARE_DIVISOR

    companion object {
        /** A request of at most this size may use the share of the bytes that is kept for small requests. */
        const val SMALL_REQUEST_BYTES: Long = 64L * 1024

        private const val SMALL_SHARE_DIVISOR = 4
        private const val ADDRESS_SHARE_DIVISOR = 8

        // Process memory beside the connections themselves: one of them takes several KB for its buffers and its state.
        private const val HEAP_BYTES_PER_CONNECTION = 96L * 1024
        private const val HEAP_DIVISOR = 6
        private const val DESCRIPTOR_DIVISOR = 2
        private const val MIN_CONNECTIONS = 16

        /**
         * Limits for a process with [heapBytes] of heap and [descriptors] file descriptors.
         *
         * @param maxBodyBytes the largest body that is accepted; one request of this size always fits.
         */
        fun of(
            heapBytes: Long,
            descriptors: Long,
            maxBodyBytes: Long,
        ): IntakeLimits {
            val connections = minOf(descriptors / DESCRIPTOR_DIVISOR, heapBytes / HEAP_BYTES_PER_CONNECTION, Int.MAX_VALUE.toLong())
            // Twice, so that the shares for small requests and for one address don't exclude a body of the largest size.
            return IntakeLimits(maxOf(connections.toInt(), MIN_CONNECTIONS), maxOf(heapBytes / HEAP_DIVISOR, 2 * maxBodyBytes))
        }
    }
}
