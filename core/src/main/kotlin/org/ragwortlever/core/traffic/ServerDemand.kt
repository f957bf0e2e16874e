// What this node asks of the owners of the backend servers' slots.
package org.ragwortlever.core.traffic

import org.ragwortlever.core.admission.Lane
import org.ragwortlever.core.capacity.ServerCapacity
import kotlin.time.Instant

/**
 * The demand for slots of one backend server.
 *
 * @property running attempts of this node that run on the server.
 * @property waiting waiting requests that would go there.
 * @property highestTier the highest tier of the waiting requests; null when none wait.
 * @property earliestDeadline when the first of the waiting requests must have started; null when none wait.
 */
data class ServerDemand(
    val server: String,
    val running: Int,
    val waiting: Int,
    val highestTier: Int?,
    val earliestDeadline: Instant?,
)

/**
 * Spreads the waiting work of [lanes], which come in the order of their tiers, over their servers: each request goes to
 * the server with the least running and assigned work for its limit. Servers without work or demand are left out.
 */
internal fun demandOf(
    servers: Collection<ServerCapacity>,
    lanes: List<Lane>,
): List<ServerDemand> {
    val demands = servers.associateWith { ServerDemand(it.id, it.running, 0, null, null) }.toMutableMap()
    lanes.filter { it.waiting > 0 && it.servers.isNotEmpty() }.forEach { lane ->
        val deadline = lane.findOldest()?.deadline
        repeat(minOf(lane.waiting, lane.servers.sumOf { it.server.maxConcurrency })) {
            val target = lane.servers.minBy { demands.getValue(it).load(it) }
            val demand = demands.getValue(target)
            demands[target] =
                demand.copy(
                    waiting = demand.waiting + 1,
                    highestTier = demand.highestTier ?: lane.tier,
                    earliestDeadline = listOfNotNull(demand.earliestDeadline, deadline).minOrNull(),
                )
        }
    }
    return demands.values.filter { it.running > 0 || it.waiting > 0 }
}

private fun ServerDemand.load(capacity: ServerCapacity): Double = (running + waiting).toDouble() / capacity.server.maxConcurrency
