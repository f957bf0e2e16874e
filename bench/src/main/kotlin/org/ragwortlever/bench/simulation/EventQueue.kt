// Virtual time: actions ordered by the instant at which they run, and by insertion where instants are equal.
package org.ragwortlever.bench.simulation

import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Instant

/** Runs scheduled actions in the order of virtual time. */
internal class EventQueue {
    private val pending = PriorityQueue<Scheduled>(compareBy<Scheduled> { it.nanoseconds }.thenBy { it.order })
    private var order = 0L
    private var elapsed = 0L

    /** Seconds since the start of the run. */
    val seconds: Double get() = elapsed / NANOSECONDS_PER_SECOND

    val now: Instant get() = START + elapsed.nanoseconds

    /** Runs [action] at [seconds] after the start, or now when that has passed. */
    fun at(
        seconds: Double,
        action: () -> Unit,
    ) {
        pending += Scheduled(maxOf(elapsed, (seconds * NANOSECONDS_PER_SECOND).toLong()), order++, action)
    }

    fun after(
        delaySeconds: Double,
        action: () -> Unit,
    ) = at(seconds + delaySeconds, action)

    fun after(
        delay: Duration,
        action: () -> Unit,
    ) {
        pending += Scheduled(elapsed + delay.inWholeNanoseconds, order++, action)
    }

    /** Runs everything that is due before [limit]. */
    fun runUntil(limit: Duration) {
        while (true) {
            val next = pending.peek() ?: return
            if (next.nanoseconds > limit.inWholeNanoseconds) return
            pending.remove()
            elapsed = next.nanoseconds
            next.action()
        }
    }

    /** Runs everything that is due within [duration] and lets all of it pass. */
    fun runFor(duration: Duration) {
        val end = elapsed.nanoseconds + duration
        runUntil(end)
        elapsed = end.inWholeNanoseconds
    }

    private class Scheduled(
        val nanoseconds: Long,
        val order: Long,
        val action: () -> Unit,
    )

    private companion object {
        const val NANOSECONDS_PER_SECOND = 1e9
        val START = Instant.fromEpochSeconds(1_700_000_000)
    }
}
