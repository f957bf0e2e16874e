/*
 * Limits the rate at which one entry VM sends requests to a cold backend server. The server's limit applies to all entry
 * VMs together, so each takes an equal share; where the shares would be less than one request per second, only some of
 * the VMs send requests.
 */
package org.ragwortlever.core.backend

import org.ragwortlever.core.membership.rendezvousOrder
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Rate limit of the entry VM [node] for requests to cold servers; not thread-safe. */
class SlowStartLimiter(
    private val node: String,
) {
    private val lastSendByServer = HashMap<String, Instant>()

    /** Whether one more request to the cold server [id] at [now] is within the limit of [requestsPerSecond] shared by [nodes]. */
    fun allows(
        id: String,
        requestsPerSecond: Double,
        nodes: Set<String>,
        now: Instant,
    ): Boolean {
        val senders = senderCount(id, requestsPerSecond, nodes)
        if (senders == 0 || !isSender(id, senders, nodes)) return false
        val interval = 1.seconds * (senders / requestsPerSecond)
        return now >= (lastSendByServer[id] ?: Instant.DISTANT_PAST) + interval
    }

    /** Records that a request was sent to the cold server [id] at [now]. */
    fun recordSend(
        id: String,
        now: Instant,
    ) {
        lastSendByServer[id] = now
    }

    private fun senderCount(
        id: String,
        requestsPerSecond: Double,
        nodes: Set<String>,
    ): Int {
        if (id.isEmpty() || requestsPerSecond <= 0) return 0
        // Each sender can start a second with one request above its rate.
        val maxSenders = (requestsPerSecond * TOLERATED_RATE_EXCESS + TOLERATED_EXTRA_REQUESTS).toInt()
        return minOf(maxOf(1, nodes.size), maxOf(1, requestsPerSecond.toInt()), maxSenders)
    }

    private companion object {
        // The platform counts an overload only above 1.5 times the rate plus five requests.
        const val TOLERATED_RATE_EXCESS = 0.5
        const val TOLERATED_EXTRA_REQUESTS = 5
    }

    private fun isSender(
        id: String,
        senders: Int,
        nodes: Set<String>,
    ): Boolean {
        if (nodes.size <= senders) return true
        return node in rendezvousOrder(id, nodes).take(senders)
    }
}
