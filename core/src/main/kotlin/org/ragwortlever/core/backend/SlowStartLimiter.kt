/*
 * Bounds what one entry VM sends to one cold backend server. The server's bound holds for all entry VMs together, so
 * each takes an equal part; where the parts would fall under one request a second, only some of the VMs send at all.
 */
package org.ragwortlever.core.backend

import org.ragwortlever.core.membership.rendezvousOrder
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** The cold requests of the entry VM [node]; not thread-safe. */
class SlowStartLimiter(
    private val node: String,
) {
    private val lastSendByServer = HashMap<String, Instant>()

    /** Whether one more request to the cold server [id] keeps the bound of [requestsPerSecond] shared by [nodes]. */
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
        // Each sender can begin a second with one request more than its rate.
        val maxSenders = (requestsPerSecond * TOLERATED_RATE_EXCESS + TOLERATED_EXTRA_REQUESTS).toInt()
        return minOf(maxOf(1, nodes.size), maxOf(1, requestsPerSecond.toInt()), maxSenders)
    }

    private companion object {
        // The platform counts an overload only beyond one and a half times the rate and five requests.
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
