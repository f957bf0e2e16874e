// Durations of recent answers by route. A VM that shuts down accepts only requests that it can finish in time.
package org.ragwortlever.core.route

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Keeps the longest recent answer duration of each route. Thread-safe. */
class AnswerTimes {
    private class Period(
        val startedAt: Instant,
    ) {
        val longest = HashMap<String, Duration>()
    }

    private var current = Period(Instant.DISTANT_PAST)
    private var previous = current

    /** Records that an answer of the route named [route] took [duration] and was complete at [now]. */
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

    /**
     * Returns how long a request of [route] may take: the longest recent duration with a margin, at most the timeout of
     * the route. Without a recent answer it is the timeout.
     */
    @Synchronized
    fun estimateDuration(route: Route): Duration {
        val seen = listOfNotNull(current.longest[route.name], previous.longest[route.name]).maxOrNull() ?: return route.timeout
        return minOf(route.timeout, seen * MARGIN_FACTOR + MINIMUM_MARGIN)
    }

    private companion object {
        // Long enough to include every kind of answer, short enough to forget a past load peak.
        val PERIOD: Duration = 30.seconds

        // Answers get slower while the load of VMs that shut down moves to the others.
        const val MARGIN_FACTOR = 1.5
        val MINIMUM_MARGIN: Duration = 0.5.seconds
    }
}
