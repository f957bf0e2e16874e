/*
 * Whether a process of a backend server takes new requests, according to the notices in its own answers. Notices take
 * precedence over the store, which learns later that a server is leaving, and over the choice of any VM.
 */
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.backend.ServerNotice
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Availability of one process of a server. Not thread-safe. */
internal class ServerAvailability {
    /** Never reset: a process that shuts down does not start to serve again. */
    var isLeaving = false
        private set

    /** Until when the server gets no new requests. */
    var pausedUntil: Instant = Instant.DISTANT_PAST
        private set

    private var pauseCount = 0
    private var lastNoticeAt = Instant.DISTANT_PAST

    /**
     * Applies a notice of the server.
     *
     * @param position from 0 up to but not including 1, different for each VM, so that the VMs return one after
     *     another.
     */
    fun recordNotice(
        notice: ServerNotice,
        position: Double,
        now: Instant,
    ) {
        if (notice.isLeaving) isLeaving = true
        val quietFor = notice.quietFor ?: return
        // Answers to requests that were in flight together ask for the same pause.
        val isNewPause = now > pausedUntil
        if (now - lastNoticeAt > PAUSE_RESET_AFTER) pauseCount = 0
        if (isNewPause) pauseCount++
        lastNoticeAt = now
        val spread = minOf(MIN_RETURN_SPREAD * (1 shl (pauseCount - 1).coerceIn(0, MAX_DOUBLINGS)), MAX_RETURN_SPREAD)
        pausedUntil = maxOf(pausedUntil, now + quietFor + spread * position)
    }

    fun isAvailable(now: Instant): Boolean = !isLeaving && now >= pausedUntil

    private companion object {
        // All VMs got the notice at about the same time; a few requests first show whether the server can take more.
        val MIN_RETURN_SPREAD = 0.5.seconds

        // A server that asks again right after its pause needs its callers to return more slowly.
        val MAX_RETURN_SPREAD: Duration = 4.seconds
        const val MAX_DOUBLINGS = 4
        val PAUSE_RESET_AFTER: Duration = 10.seconds
    }
}

/** Availability of all recently seen server processes, whether or not the store announces them. Not thread-safe. */
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

        // Several times the servers of the largest fleet, so that no process is evicted that may still be announced.
        const val MAX_PROCESSES = 4000
    }
}
