/*
 * Determines whether all backend servers of a service are known. A VM that starts, or that reads the list while expired
 * entries are registered again, learns of the servers one by one. An order based on a partial count would stop the
 * servers that are still unknown.
 */
package org.ragwortlever.core.scaling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Discovery of the servers of one service by the holder of the duty lease. Not thread-safe. */
class ServerDiscovery {
    private var knownCount = 0
    private var completeFrom = Instant.DISTANT_FUTURE
    private var isComplete = false

    /**
     * Records that [count] servers are known. Returns true once the count is above zero and hasn't grown for
     * three seconds. From then on the result stays true, since further servers are new ones.
     */
    fun recordCount(
        count: Int,
        now: Instant,
    ): Boolean {
        if (isComplete) return true
        if (count > knownCount || completeFrom == Instant.DISTANT_FUTURE) completeFrom = now + SETTLING_TIME
        knownCount = count
        isComplete = count > 0 && now >= completeFrom
        return isComplete
    }

    private companion object {
        // Live servers register every 1.2 seconds and, after an outage of the store, within about two seconds.
        val SETTLING_TIME: Duration = 3.seconds
    }
}
