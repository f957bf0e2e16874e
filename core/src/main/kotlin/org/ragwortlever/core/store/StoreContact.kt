/*
 * How long the store has answered one VM without interruption. Entries expire in an outage of the store although their
 * owners are alive. A VM whose calls fail can't tell such an outage from a fault of its own, but another VM that the store
 * has answered all the time can.
 */
package org.ragwortlever.core.store

import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * A time in which the store did not answer a VM.
 *
 * @property lastAnswerAt when the last answer before it was received.
 * @property failedAt when the first call without an answer had failed.
 */
data class StoreGap(
    val lastAnswerAt: Instant,
    val failedAt: Instant,
)

/**
 * How the store answers the VM that reports this.
 *
 * @property uninterruptedMilliseconds age of the first answer since the last failed call.
 * @property sinceLastAnswerMilliseconds age of the last answer.
 */
@Serializable
data class StoreContactReport(
    val uninterruptedMilliseconds: Long,
    val sinceLastAnswerMilliseconds: Long,
) {
    /**
     * Whether the store answered the reporting VM before [gap] and in it, so that [gap] was no outage of the store.
     *
     * @param askedAt when the report was asked for; [receivedAt] when it was received.
     */
    fun covers(
        gap: StoreGap,
        askedAt: Instant,
        receivedAt: Instant,
    ): Boolean =
        receivedAt - uninterruptedMilliseconds.milliseconds <= gap.lastAnswerAt &&
            askedAt - sinceLastAnswerMilliseconds.milliseconds >= gap.failedAt
}

/** Answers of the store to this VM. Thread-safe. */
class StoreContact {
    private var since: Instant? = null
    private var lastAnswerAt = Instant.DISTANT_PAST

    /** Records that the store had the state of an answer at [at]. */
    @Synchronized
    fun recordAnswer(at: Instant) {
        if (since == null) since = at
        lastAnswerAt = maxOf(lastAnswerAt, at)
    }

    /** Records that a call has failed. */
    @Synchronized
    fun recordFailure() {
        since = null
    }

    /** Returns null if the last call has failed. */
    @Synchronized
    fun report(now: Instant): StoreContactReport? =
        since?.let { StoreContactReport((now - it).inWholeMilliseconds, (now - lastAnswerAt).inWholeMilliseconds) }
}
