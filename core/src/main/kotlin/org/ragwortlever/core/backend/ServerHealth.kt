/*
 * Passive health check of one backend server, based on the outcomes of its requests. Active health probes are expensive
 * and unreliable. A server that fails is avoided for a time that doubles with each consecutive failure, and is then tried
 * again with a real request.
 */
package org.ragwortlever.core.backend

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** How a request to a server failed. */
enum class ServerFailure {
    /** No connection could be opened. */
    UNREACHABLE,

    /** The connection broke, or the response was incomplete or invalid. */
    BROKEN,

    /** The server answered with an error. */
    ERROR,

    /** The server did not answer within the timeout of the attempt. */
    SILENT,

    /** The server is at capacity and refused the request before running it. */
    BUSY,

    /** The address now belongs to another server. */
    REPLACED,

    /** The server has announced that it takes no new requests; nothing was sent. */
    CLOSED,

    /** The VM was delayed between the decision to send and sending, so that the decision may no longer hold; nothing was sent. */
    EXPIRED,
    ;

    /** Whether the request never reached the server, so that the server does not count it. */
    val isBeforeSend: Boolean get() = this == UNREACHABLE || isLocal

    /** Whether the failure says nothing about the server's health. */
    val isLocal: Boolean get() = this == CLOSED || this == EXPIRED
}

/** Health of one server; not thread-safe. */
class ServerHealth {
    private var consecutiveFailures = 0
    private var errorRate = 0.0
    private var updatedAt = Instant.DISTANT_PAST

    /** Time until which the server gets no request if another server can take it. */
    var avoidUntil: Instant = Instant.DISTANT_PAST
        private set

    /** Records a successful request. */
    fun recordSuccess(now: Instant) {
        consecutiveFailures = 0
        errorRate = errorRateAt(now) * (1 - ERROR_RATE_WEIGHT)
        updatedAt = now
    }

    /** Records a failed request and, where due, extends [avoidUntil]. */
    fun recordFailure(
        failure: ServerFailure,
        now: Instant,
    ) {
        if (failure == ServerFailure.BUSY) {
            avoidUntil = maxOf(avoidUntil, now + BUSY_BACKOFF)
            return
        }
        consecutiveFailures++
        errorRate = errorRateAt(now) * (1 - ERROR_RATE_WEIGHT) + ERROR_RATE_WEIGHT
        updatedAt = now
        if (failure == ServerFailure.ERROR && consecutiveFailures < MIN_CONSECUTIVE_ERRORS) return
        avoidUntil = maxOf(avoidUntil, now + backoff(failure))
    }

    /** Fraction of the recent requests that failed, from 0 to 1; it decays with time so that a server is tried again. */
    fun errorRateAt(now: Instant): Double {
        val age = (now - updatedAt).toDouble(DurationUnit.SECONDS)
        return if (age <= 0) errorRate else errorRate * exp(-age / ERROR_RATE_DECAY_SECONDS)
    }

    private fun backoff(failure: ServerFailure): Duration {
        val base = if (failure == ServerFailure.BROKEN || failure == ServerFailure.ERROR) BROKEN_BACKOFF else UNREACHABLE_BACKOFF
        return minOf(base * (1 shl (consecutiveFailures - 1).coerceIn(0, MAX_DOUBLINGS)), MAX_BACKOFF)
    }

    private companion object {
        // One failure in ten requests must not outweigh a queue on another server; three consecutive failures must.
        const val ERROR_RATE_WEIGHT = 0.2
        const val ERROR_RATE_DECAY_SECONDS = 5.0
        const val MIN_CONSECUTIVE_ERRORS = 2
        const val MAX_DOUBLINGS = 4

        // About the time in which a server at capacity completes one of its requests.
        val BUSY_BACKOFF = 100.milliseconds
        val BROKEN_BACKOFF = 300.milliseconds
        val UNREACHABLE_BACKOFF = 500.milliseconds

        // Crashed servers restart within a few seconds; a longer backoff would leave their capacity unused.
        val MAX_BACKOFF = 4.seconds
    }
}
