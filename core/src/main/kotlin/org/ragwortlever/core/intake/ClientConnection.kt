// What the intake control knows of one client connection.
package org.ragwortlever.core.intake

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Not thread-safe: owned by the intake control. */
internal class ClientConnection(
    val id: ConnectionId,
    val address: String,
    now: Instant,
) {
    enum class Stage { IDLE, HEAD, BODY, RUNNING }

    var stage = Stage.IDLE
        private set

    /** Bytes that are reserved for the request; at least as many as have been received. */
    var reservedBytes = 0L

    /** Bytes of the head of the request. */
    var headBytes = 0L
    private var receivedBytes = 0L
    private var stageSince = now
    private var lastProgress = now
    private var isWriting = false
    private var writtenBytes = 0L
    private var writingSince = now

    val isReceiving: Boolean get() = stage == Stage.HEAD || stage == Stage.BODY
    val isLarge: Boolean get() = reservedBytes > IntakeLimits.SMALL_REQUEST_BYTES

    /** When the connection last made progress. */
    val idleSince: Instant get() = lastProgress

    fun enter(
        next: Stage,
        now: Instant,
    ) {
        stage = next
        stageSince = now
        lastProgress = now
        if (next != Stage.IDLE) return
        headBytes = 0
        receivedBytes = 0
    }

    fun recordReceived(
        bytes: Long,
        now: Instant,
    ) {
        receivedBytes += bytes
        lastProgress = now
    }

    /** Records that the client did not accept all that was written. */
    fun recordBlockedWrite(
        acceptedBytes: Long,
        now: Instant,
    ) {
        if (!isWriting) {
            writingSince = now
            writtenBytes = 0
        }
        isWriting = true
        writtenBytes += acceptedBytes
    }

    fun recordUnblockedWrite() {
        isWriting = false
    }

    /** Whether the request makes so little progress that it may be given up for another one. */
    fun isStalled(now: Instant): Boolean {
        if (!isReceiving) return false
        val age = now - stageSince
        val isSlow = receivedBytes < MIN_BYTES_PER_SECOND * age.toDouble(DurationUnit.SECONDS)
        return now - lastProgress >= STALL || (age >= SLOW_START && isSlow)
    }

    /** Why the connection has to be closed now, whatever room there is; null if it has not. */
    fun findCloseReason(
        limits: IntakeLimits,
        writeTimeout: Duration,
        now: Instant,
    ): CloseReason? =
        when {
            isReceiving && now - lastProgress >= limits.idleTimeout -> CloseReason.REQUEST_STALLED
            stage == Stage.HEAD && now - stageSince >= limits.headTimeout -> CloseReason.HEAD_TOO_SLOW
            isWriting && isWriteStalled(writeTimeout, now) -> CloseReason.RESPONSE_STALLED
            else -> null
        }

    /** A client that reads now and then is stalled too: the kernel's buffers are full while its write is blocked. */
    private fun isWriteStalled(
        timeout: Duration,
        now: Instant,
    ): Boolean {
        val age = now - writingSince
        return age >= timeout && writtenBytes < MIN_BYTES_PER_SECOND * age.toDouble(DurationUnit.SECONDS)
    }

    private companion object {
        // Far longer than the round trip to a client; a sound client sends its whole request in one go.
        val STALL = 1.seconds
        val SLOW_START = 3.seconds

        // Slower than any link that callers use.
        const val MIN_BYTES_PER_SECOND = 1024
    }
}
