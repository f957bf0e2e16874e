/*
 * What the answers of one backend server tell about its health. Health probes are dear and lie, so requests are the
 * evidence: a server that fails is left alone for a while that doubles, then gets a real request again.
 */
package org.ragwortlever.core.backend

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** How an exchange with a server failed. */
enum class ServerFailure {
    /** No connection could be opened. */
    UNREACHABLE,

    /** The connection broke, or the answer was not a whole answer to the request. */
    BROKEN,

    /** The server answered with an error of its own. */
    ERROR,

    /** Nothing came within the time of the attempt. */
    SILENT,

    /** The server is full and refused the request before it ran. */
    BUSY,

    /** Another server has the address. */
    REPLACED,

    /** The server has said that it takes nothing new; nothing was sent. */
    CLOSED,
    ;

    /** Whether the request never reached the server, which then counts no arrival. */
    val isBeforeSend: Boolean get() = this == UNREACHABLE || this == CLOSED
}

/** Health of one server; not thread-safe. */
class ServerHealth {
    private var consecutiveFailures = 0
    private var errorRate = 0.0
    private var updatedAt = Instant.DISTANT_PAST

    /** Until when the server gets no request while others can take it. */
    var avoidUntil: Instant = Instant.DISTANT_PAST
        private set

    fun recordSuccess(now: Instant) {
        consecutiveFailures = 0
        errorRate = errorRateAt(now) * (1 - ERROR_RATE_WEIGHT)
        updatedAt = now
    }

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

    /** Part of the recent requests that failed, from 0 to 1; it fades with time so that a server gets another chance. */
    fun errorRateAt(now: Instant): Double {
        val age = (now - updatedAt).toDouble(DurationUnit.SECONDS)
        return if (age <= 0) errorRate else errorRate * exp(-age / ERROR_RATE_DECAY_SECONDS)
    }

    private fun backoff(failure: ServerFailure): Duration {
        val base = if (failure == ServerFailure.BROKEN || failure == ServerFailure.ERROR) BROKEN_BACKOFF else UNREACHABLE_BACKOFF
        return minOf(base * (1 shl (consecutiveFailures - 1).coerceIn(0, MAX_DOUBLINGS)), MAX_BACKOFF)
    }

    private companion object {
        // One failure among ten requests must not outweigh a queue on another server; three in a row must.
        const val ERROR_RATE_WEIGHT = 0.2
        const val ERROR_RATE_DECAY_SECONDS = 5.0
        const val MIN_CONSECUTIVE_ERRORS = 2
        const val MAX_DOUBLINGS = 4

        // About the time in which a full server ends one of its requests.
        val BUSY_BACKOFF = 100.milliseconds
        val BROKEN_BACKOFF = 300.milliseconds
        val UNREACHABLE_BACKOFF = 500.milliseconds

        // Crashed servers are back within some seconds; a longer pause would leave their capacity unused.
        val MAX_BACKOFF = 4.seconds
    }
}
