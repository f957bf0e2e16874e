/*
 * Whether all backend servers of a service are known. A VM that starts, or that reads the list while lapsed entries come
 * back, learns of the servers one after another; an order that counts only those would stop the others.
 */
package org.ragwortlever.core.scaling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** The servers of one service as the holder of the duties learns of them; not thread-safe. */
class ServerDiscovery {
    private var knownCount = 0
    private var completeFrom = Instant.DISTANT_FUTURE
    private var isComplete = false

    /**
     * Notes that [count] servers are known; returns whether these are all that run. Once they are, servers that come
     * later are new ones and change nothing.
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
        // Live servers announce themselves every 1.2 seconds and, after an outage of the store, within about two.
        val SETTLING_TIME: Duration = 3.seconds
    }
}
