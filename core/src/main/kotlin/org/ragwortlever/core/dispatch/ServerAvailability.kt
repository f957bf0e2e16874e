/*
 * Whether one process of a backend server takes new requests, by what it said itself in its answers. That goes before
 * the store, which learns of a server that leaves later, and before the choice of any VM.
 */
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.backend.ServerNotice
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Belongs to one process of a server; not thread-safe. */
internal class ServerAvailability {
    /** Never taken back: a process that stops does not start to serve again. */
    var isLeaving = false
        private set

    /** Until when the server wants nothing new. */
    var backoffUntil: Instant = Instant.DISTANT_PAST
        private set

    private var backoffCount = 0
    private var lastNoticeAt = Instant.DISTANT_PAST

    /**
     * Takes what the server said.
     *
     * @param position from 0 up to 1, different for each VM, so that they return one after another.
     */
    fun recordNotice(
        notice: ServerNotice,
        position: Double,
        now: Instant,
    ) {
        if (notice.isLeaving) isLeaving = true
        val quietFor = notice.quietFor ?: return
        // Answers to requests that were on their way together ask for the same quiet.
        val isNewBackoff = now > backoffUntil
        if (now - lastNoticeAt > BACKOFF_RESET_AFTER) backoffCount = 0
        if (isNewBackoff) backoffCount++
        lastNoticeAt = now
        val spread = minOf(MIN_RETURN_SPREAD * (1 shl (backoffCount - 1).coerceIn(0, MAX_DOUBLINGS)), MAX_RETURN_SPREAD)
        backoffUntil = maxOf(backoffUntil, now + quietFor + spread * position)
    }

    fun isAvailable(now: Instant): Boolean = !isLeaving && now >= backoffUntil

    private companion object {
        // All VMs were told at about the same time; a few requests first show whether the server bears more.
        val MIN_RETURN_SPREAD = 0.5.seconds

        // A server that asks again right after its quiet time needs its callers to come back more slowly.
        val MAX_RETURN_SPREAD: Duration = 4.seconds
        const val MAX_DOUBLINGS = 4
        val BACKOFF_RESET_AFTER: Duration = 10.seconds
    }
}

/** The availabilities of all processes that were heard of lately, whether or not the store announces them; not thread-safe. */
internal class ServerAvailabilities {
    private data class Process(
        val server: String,
        val incarnation: Long,
    )

    private val availabilities = LinkedHashMap<Process, ServerAvailability>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    fun of(
        server: String,
        incarnation: Long,
    ): ServerAvailability {
        val availability = availabilities.getOrPut(Process(server, incarnation)) { ServerAvailability() }
        if (availabilities.size > MAX_PROCESSES) availabilities.remove(availabilities.keys.first())
        return availability
    }

    private companion object {
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f

        // Several times the servers of the largest fleet, so that none is forgotten that may still be announced.
        const val MAX_PROCESSES = 4000
    }
}
