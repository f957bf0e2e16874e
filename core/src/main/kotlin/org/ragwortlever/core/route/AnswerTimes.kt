// How long the answers of each route have taken lately, so that a VM that stops takes only what it can finish.
package org.ragwortlever.core.route

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** The longest answers by route. Safe for use by several threads. */
class AnswerTimes {
    private class Period(
        val startedAt: Instant,
    ) {
        val longest = HashMap<String, Duration>()
    }

    private var current = Period(Instant.DISTANT_PAST)
    private var previous = current

    @Synchronized
    fun recordDuration(
        route: String,
        duration: Duration,
        now: Instant,
    ) {
        if (now - current.startedAt > PERIOD) {
            previous = current
            current = Period(now)
        }
        current.longest[route] = maxOf(duration, current.longest[route] ?: Duration.ZERO)
    }

    /** The time that a request of [route] has to be given to its end, with a margin; its timeout when none was answered lately. */
    @Synchronized
    fun estimateDuration(route: Route): Duration {
        val seen = listOfNotNull(current.longest[route.name], previous.longest[route.name]).maxOrNull() ?: return route.timeout
        return minOf(route.timeout, seen * MARGIN_FACTOR + MINIMUM_MARGIN)
    }

    private companion object {
        // Long enough to have seen every kind of answer, short enough to forget a load that has passed.
        val PERIOD: Duration = 30.seconds

        // Load that moves away from VMs that stop makes the answers of the others slower.
        const val MARGIN_FACTOR = 1.5
        val MINIMUM_MARGIN: Duration = 0.5.seconds
    }
}
