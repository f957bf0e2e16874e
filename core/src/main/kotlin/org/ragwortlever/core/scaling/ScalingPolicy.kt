/*
 * Computes how many backend servers of a service should run in each availability zone, and of which kind. The number of
 * servers follows the load with room for bursts, since a new server takes seconds to start. Spot servers are preferred
 * for their price: while a zone has none, the other zones get more of them, and on-demand servers take only the load
 * that those can't serve. On-demand servers are removed once spot servers serve in their place.
 */
package org.ragwortlever.core.scaling

import org.ragwortlever.core.fleet.ServiceLoad
import org.ragwortlever.core.route.ScalingRange
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Number of servers to order in one zone, by kind. */
data class ZoneServers(
    val onDemand: Int,
    val spot: Int,
) {
    val total: Int get() = onDemand + spot
}

/**
 * Running servers of one zone. [onDemand], [spot] and [total] count only servers that accept requests.
 *
 * @property warmSpot spot servers that have run long enough to serve full load.
 * @property leavingSpot spot servers that no longer accept requests.
 */
data class RunningServers(
    val onDemand: Int,
    val spot: Int,
    val warmSpot: Int = spot,
    val leavingSpot: Int = 0,
) {
    val total: Int get() = onDemand + spot
}

/** Scaling of one service. Not thread-safe. */
class ScalingPolicy {
    private val longPeak = HeldPeak(LONG_PEAK_WINDOW)
    private val shortPeak = HeldPeak(SHORT_PEAK_WINDOW)
    private val spotRefusedAt = HashMap<String, Instant>()
    private var lastOrders = emptyMap<String, ZoneServers>()

    /** Whether any load has been seen; before that, the number of servers needed is unknown. */
    private var hasSeenLoad = false

    /** Records that the platform has no spot server for [zone] at the moment. */
    fun recordSpotUnavailable(
        zone: String,
        now: Instant,
    ) {
        spotRefusedAt[zone] = now
    }

    /**
     * Returns the servers to order in each zone of [zones]. Zones that are taken out of service keep their
     * servers.
     *
     * @param running running servers by zone.
     */
    fun computeDesiredServers(
        range: ScalingRange,
        load: ServiceLoad,
        zones: List<String>,
        running: Map<String, RunningServers>,
        now: Instant,
    ): Map<String, ZoneServers> {
        running.filter { (zone, servers) -> isSpotReclaimed(zone, servers) }.forEach { (zone, _) -> recordSpotUnavailable(zone, now) }
        val targetServers = computeTargetServers(load)
        val total = longPeak.record(maxOf(targetServers, countRunningBeforeLoad(load, running)), now)
        val minimumServers = computeMinimumServers(load)
        val recentMinimum = shortPeak.record(minimumServers, now)
        // Half of the peak capacity is kept, since a burst may return while servers of one kind replace the other.
        val spareServers = (running.values.sumOf { it.onDemand + it.warmSpot } - maxOf(targetServers, total / 2)) / zones.size
        val (withoutSpot, withSpot) = zones.sortedBy { range.zonePrices[it] ?: 1.0 }.partition { lacksSpot(range, it, now) }
        val counts = withSpot.divideAmongZones(total, minimumPerZone(range), range)
        val rest = withoutSpot.divideAmongZones(recentMinimum - counts.values.sum(), range.minimum, range)
        lastOrders =
            counts.mapValues { (zone, count) -> splitByKind(range, count, running[zone] ?: RunningServers(0, 0), spareServers) } +
            rest.mapValues { (zone, count) -> fillWithOnDemand(count, running[zone] ?: RunningServers(0, 0)) }
        return lastOrders
    }

    /**
     * Number of running servers up to the call with the first load, then 0. Servers of a new fleet become known one by one, and
     * until there is load their number is the only sign of what the first callers will need. A new holder of the duty
     * lease starts with it, too. While one kind replaces the other in a zone, only the larger of the two counts.
     */
    private fun countRunningBeforeLoad(
        load: ServiceLoad,
        running: Map<String, RunningServers>,
    ): Int {
        if (hasSeenLoad) return 0
        hasSeenLoad = load.running > 0 || load.prefillSeconds > 0
        return running.values.sumOf { maxOf(it.onDemand, it.spot) }
    }

    private fun lacksSpot(
        range: ScalingRange,
        zone: String,
        now: Instant,
    ): Boolean = range.spotPrice != null && now < (spotRefusedAt[zone] ?: Instant.DISTANT_PAST) + SPOT_RETRY_DELAY

    /** Divides [total] evenly among these zones, the remainder to the cheapest; each gets [least] to the maximum of [range]. */
    private fun List<String>.divideAmongZones(
        total: Int,
        least: Int,
        range: ScalingRange,
    ): Map<String, Int> =
        withIndex().associate { (rank, zone) ->
            val part = total / size + if (rank < total % size) 1 else 0
            zone to part.coerceIn(least, range.maximum)
        }

    /** Whether the platform reclaims the spot servers of [zone]: it stops all of them at once, without an order. */
    private fun isSpotReclaimed(
        zone: String,
        running: RunningServers,
    ): Boolean = running.leavingSpot > 0 && running.spot == 0 && lastOrders[zone]?.spot != 0

    /**
     * Divides [count] servers of a zone into on-demand and spot. No server that the load needs is stopped before its
     * replacement serves, so spot servers replace on-demand ones one by one, or [spareServers] at once at low load.
     */
    private fun splitByKind(
        range: ScalingRange,
        count: Int,
        running: RunningServers,
        spareServers: Int,
    ): ZoneServers {
        if (range.spotPrice == null) return ZoneServers(count, 0)
        val onDemand = minOf(running.onDemand, (count - running.warmSpot).coerceAtLeast(0))
        val room = range.maximum - onDemand
        // On-demand servers fill the zone's maximum, so some must stop before the first spot servers can start.
        if (room <= running.spot && running.spot < count && running.spot == running.warmSpot) {
            val next = minOf(running.spot + maxOf(1, spareServers), count)
            return ZoneServers(maxOf(0, range.maximum - next), next)
        }
        return ZoneServers(onDemand, minOf(count, room))
    }

    /** On-demand servers cost several times as much, so a zone without spot supply gets only what the other zones can't serve. */
    private fun fillWithOnDemand(
        count: Int,
        running: RunningServers,
    ) = ZoneServers((count - running.spot).coerceAtLeast(0), running.spot)

    /** Number of servers with which prompts rarely wait for each other. */
    private fun computeTargetServers(load: ServiceLoad): Int =
        ceil(load.prefillSeconds / TARGET_PREFILL_LOAD_PER_SERVER + load.running / TARGET_RUNNING_PER_SERVER).toInt()

    /** Minimum number of servers that serve the load in time; only these are worth the on-demand price. */
    private fun computeMinimumServers(load: ServiceLoad): Int =
        ceil(load.prefillSeconds / MAXIMUM_PREFILL_LOAD_PER_SERVER + load.running / MAXIMUM_RUNNING_PER_SERVER).toInt()

    /** Servers that a zone keeps for the start of a burst; the second and third one also cover the loss of a server. */
    private fun minimumPerZone(range: ScalingRange): Int =
        minOf(range.maximum, maxOf(range.minimum, if (range.spotPrice == null) MINIMUM_ON_DEMAND_PER_ZONE else MINIMUM_SPOT_PER_ZONE))

    private companion object {
        // Seconds of prefill per second. A prefill delays every answer on its server, so a server is full long before 1.
        const val TARGET_PREFILL_LOAD_PER_SERVER = 0.14
        const val TARGET_RUNNING_PER_SERVER = 8.0

        // With a quarter of its time spent on prefill, a server still answers most prompts within their latency target.
        const val MAXIMUM_PREFILL_LOAD_PER_SERVER = 0.25
        const val MAXIMUM_RUNNING_PER_SERVER = 16.0
        const val MINIMUM_ON_DEMAND_PER_ZONE = 2
        const val MINIMUM_SPOT_PER_ZONE = 3

        // Bursts return, and a server that stops loses its prefix cache.
        val LONG_PEAK_WINDOW: Duration = 20.seconds

        // A new server takes about this long until it serves full load.
        val SHORT_PEAK_WINDOW: Duration = 7.seconds

        // A reclaim of spot servers lasts several seconds; earlier orders would be refused again.
        val SPOT_RETRY_DELAY: Duration = 6.seconds
    }
}

/** Highest number of servers needed within the last [time]. */
private class HeldPeak(
    private val time: Duration,
) {
    private var peak = 0
    private var at = Instant.DISTANT_PAST

    fun record(
        need: Int,
        now: Instant,
    ): Int {
        if (need >= peak || now - at > time) set(need, now)
        return peak
    }

    private fun set(
        need: Int,
        now: Instant,
    ) {
        peak = need
        at = now
    }
}
