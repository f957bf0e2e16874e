/*
 * How many backend servers of a service should run in each availability zone, and of which kind. Servers follow the
 * load with room for its bursts, since a new one takes seconds to start. Spot servers are preferred for their price:
 * while a zone has none, the other zones get more of them, and ordinary ones take over only what these can't bear.
 * Ordinary servers leave once spot servers serve in their place.
 */
package org.ragwortlever.core.scaling

import org.ragwortlever.core.fleet.ServiceLoad
import org.ragwortlever.core.route.ScalingRange
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Servers to order in one zone. */
data class ZoneServers(
    val onDemand: Int,
    val spot: Int,
) {
    val total: Int get() = onDemand + spot
}

/**
 * Servers of one zone that take requests.
 *
 * @property warmSpot spot servers that bear full load, as all that have run for a while do.
 * @property leavingSpot spot servers that take no requests any more.
 */
data class RunningServers(
    val onDemand: Int,
    val spot: Int,
    val warmSpot: Int = spot,
    val leavingSpot: Int = 0,
) {
    val total: Int get() = onDemand + spot
}

/** The scaling of one service; not thread-safe. */
class ScalingPolicy {
    private val longPeak = HeldPeak(LONG_PEAK_WINDOW)
    private val shortPeak = HeldPeak(SHORT_PEAK_WINDOW)
    private val spotRefusedAt = HashMap<String, Instant>()
    private var lastOrders = emptyMap<String, ZoneServers>()

    /** Whether a load was seen, from which the need is known. */
    private var hasSeenLoad = false

    /** The platform has no spot server for [zone] at the moment. */
    fun recordSpotUnavailable(
        zone: String,
        now: Instant,
    ) {
        spotRefusedAt[zone] = now
    }

    /**
     * The servers to order in each zone of [zones]; zones that are taken out are left as they are.
     *
     * @param running servers that take requests.
     */
    fun computeDesiredServers(
        range: ScalingRange,
        load: ServiceLoad,
        zones: List<String>,
        running: Map<String, RunningServers>,
        now: Instant,
    ): Map<String, ZoneServers> {
        running.filter { (zone, servers) -> isSpotReclaimed(zone, servers) }.forEach { (zone, _) -> recordSpotUnavailable(zone, now) }
        val need = computeTargetServers(load)
        val total = longPeak.record(maxOf(need, countRunningBeforeLoad(load, running)), now)
        val minimumServers = computeMinimumServers(load)
        val recent = shortPeak.record(minimumServers, now)
        // Half of the held peak stays, as a burst may come back while the kinds change.
        val spareServers = (running.values.sumOf { it.onDemand + it.warmSpot } - maxOf(need, total / 2)) / zones.size
        val (withoutSpot, withSpot) = zones.sortedBy { range.zonePrices[it] ?: 1.0 }.partition { lacksSpot(range, it, now) }
        val counts = withSpot.divideAmongZones(total, minimumPerZone(range), range)
        val rest = withoutSpot.divideAmongZones(recent - counts.values.sum(), range.minimum, range)
        lastOrders =
            counts.mapValues { (zone, count) -> splitByKind(range, count, running[zone] ?: RunningServers(0, 0), spareServers) } +
            rest.mapValues { (zone, count) -> fillWithOnDemand(count, running[zone] ?: RunningServers(0, 0)) }
        return lastOrders
    }

    /**
     * What runs, until there is a load to judge it by: servers of a new fleet become known one after another, and their
     * number is all that tells what the first callers will need. Whoever takes the orders over begins with it, too.
     * While one kind replaces the other in a zone, only the larger of them counts.
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

    /** Divides [total] among the zones of this list evenly, the cheapest first; none gets less than [least]. */
    private fun List<String>.divideAmongZones(
        total: Int,
        least: Int,
        range: ScalingRange,
    ): Map<String, Int> =
        withIndex().associate { (rank, zone) ->
            val part = total / size + if (rank < total % size) 1 else 0
            zone to part.coerceIn(least, range.maximum)
        }

    /** The platform takes the spot servers of a zone away all at once, whatever the orders say. */
    private fun isSpotReclaimed(
        zone: String,
        running: RunningServers,
    ): Boolean = running.leavingSpot > 0 && running.spot == 0 && lastOrders[zone]?.spot != 0

    /**
     * No server that the load needs is given up before another one has taken its place, so ordinary and spot servers
     * change one for one, and [spareServers] at once while the load is low.
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
        // With every place taken by ordinary servers, some have to go before the first spot servers can come.
        if (room <= running.spot && running.spot < count && running.spot == running.warmSpot) {
            val next = minOf(running.spot + maxOf(1, spareServers), count)
            return ZoneServers(maxOf(0, range.maximum - next), next)
        }
        return ZoneServers(onDemand, minOf(count, room))
    }

    /** Ordinary servers cost several times as much, so a zone that gets no spot servers has only what the others can't bear. */
    private fun fillWithOnDemand(
        count: Int,
        running: RunningServers,
    ) = ZoneServers((count - running.spot).coerceAtLeast(0), running.spot)

    /** Servers with which prompts rarely wait for each other. */
    private fun computeTargetServers(load: ServiceLoad): Int =
        ceil(load.prefillSeconds / TARGET_PREFILL_LOAD_PER_SERVER + load.running / TARGET_RUNNING_PER_SERVER).toInt()

    /** Servers without which the load would not be borne in time; only these are worth the full price. */
    private fun computeMinimumServers(load: ServiceLoad): Int =
        ceil(load.prefillSeconds / MAXIMUM_PREFILL_LOAD_PER_SERVER + load.running / MAXIMUM_RUNNING_PER_SERVER).toInt()

    /** Enough to begin a burst with; a second and third server of a zone also bear the loss of one. */
    private fun minimumPerZone(range: ScalingRange): Int =
        minOf(range.maximum, maxOf(range.minimum, if (range.spotPrice == null) MINIMUM_ON_DEMAND_PER_ZONE else MINIMUM_SPOT_PER_ZONE))

    private companion object {
        // Reading a prompt holds up every answer on the same server, so a server is full long before it always reads.
        const val TARGET_PREFILL_LOAD_PER_SERVER = 0.14
        const val TARGET_RUNNING_PER_SERVER = 8.0

        // With a quarter of its time taken by prompts, a server still answers most of them within their latency target.
        const val MAXIMUM_PREFILL_LOAD_PER_SERVER = 0.25
        const val MAXIMUM_RUNNING_PER_SERVER = 16.0
        const val MINIMUM_ON_DEMAND_PER_ZONE = 2
        const val MINIMUM_SPOT_PER_ZONE = 3

        // Bursts come back, and a server that leaves takes its cached prompts with it.
        val LONG_PEAK_WINDOW: Duration = 20.seconds

        // A new server needs about as long until it bears full load.
        val SHORT_PEAK_WINDOW: Duration = 7.seconds

        // A reclaim lasts several seconds; asking earlier is refused again.
        val SPOT_RETRY_DELAY: Duration = 6.seconds
    }
}

/** The highest need of the last [time]. */
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
