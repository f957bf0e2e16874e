/*
 * How many backend servers of a service should run in each availability zone, and of which kind. Servers follow the
 * load with room for its bursts, since a new one takes seconds to start. Spot servers are preferred for their price;
 * ordinary ones take over in a zone where no spot server is to be had, and they leave only once spot servers serve.
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
    val ordinary: Int,
    val spot: Int,
) {
    val total: Int get() = ordinary + spot
}

/**
 * Servers of one zone that take requests.
 *
 * @property warmSpot spot servers that bear full load, as all that have run for a while do.
 * @property leavingSpot spot servers that take no requests any more.
 */
data class RunningServers(
    val ordinary: Int,
    val spot: Int,
    val warmSpot: Int = spot,
    val leavingSpot: Int = 0,
) {
    val total: Int get() = ordinary + spot
}

/** The scaling of one service; not thread-safe. */
class ScalingPolicy {
    private var peak = 0
    private var peakAt = Instant.DISTANT_PAST
    private val spotRefusedAt = HashMap<String, Instant>()
    private var ordered = emptyMap<String, ZoneServers>()

    /** The platform has no spot server for [zone] at the moment. */
    fun spotUnavailable(
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
    fun desired(
        range: ScalingRange,
        load: ServiceLoad,
        zones: List<String>,
        running: Map<String, RunningServers>,
        now: Instant,
    ): Map<String, ZoneServers> {
        // Whoever takes the orders over begins with what runs, as the need of the last while is not known.
        if (peakAt == Instant.DISTANT_PAST) notePeak(running.values.sumOf { it.total }, now)
        running.filter { (zone, servers) -> isReclaimed(zone, servers) }.forEach { (zone, _) -> spotUnavailable(zone, now) }
        val need = needed(load)
        val total = heldPeak(need, now).coerceIn(zones.size * floor(range), zones.size * range.maximum)
        val spare = (running.values.sumOf { it.ordinary + it.warmSpot } - maxOf(need, total / 2)) / zones.size
        val cheapestFirst = zones.sortedBy { range.zonePrices[it] ?: 1.0 }
        ordered =
            cheapestFirst.withIndex().associate { (rank, zone) ->
                val share = total / zones.size + if (rank < total % zones.size) 1 else 0
                val count = share.coerceIn(floor(range), range.maximum)
                zone to kinds(range, zone, count, running[zone] ?: RunningServers(0, 0), spare, now)
            }
        return ordered
    }

    /** The platform takes the spot servers of a zone away all at once, whatever the orders say. */
    private fun isReclaimed(
        zone: String,
        running: RunningServers,
    ): Boolean = running.leavingSpot > 0 && running.spot == 0 && ordered[zone]?.spot != 0

    /**
     * No server that the load needs is given up before another one has taken its place, so ordinary and spot servers
     * change one for one, and [spare] at once while the load is low.
     */
    private fun kinds(
        range: ScalingRange,
        zone: String,
        count: Int,
        running: RunningServers,
        spare: Int,
        now: Instant,
    ): ZoneServers {
        if (range.spotPrice == null) return ZoneServers(count, 0)
        if (now < (spotRefusedAt[zone] ?: Instant.DISTANT_PAST) + SPOT_PAUSE) {
            val spot = minOf(running.spot, count)
            return ZoneServers(count - spot, spot)
        }
        val ordinary = minOf(running.ordinary, (count - running.warmSpot).coerceAtLeast(0))
        val room = range.maximum - ordinary
        // With every place taken by ordinary servers, some have to go before the first spot servers can come.
        if (room <= running.spot && running.spot < count && running.spot == running.warmSpot) {
            val next = minOf(running.spot + maxOf(1, spare), count)
            return ZoneServers(maxOf(0, range.maximum - next), next)
        }
        return ZoneServers(ordinary, minOf(count, room))
    }

    private fun needed(load: ServiceLoad): Int = ceil(
        load.readSeconds / READ_SECONDS_PER_SERVER + load.running / RUNNING_PER_SERVER,
    ).toInt()

    /** The highest need of the last while: bursts come back, and a server that leaves takes its cached prompts with it. */
    private fun heldPeak(
        need: Int,
        now: Instant,
    ): Int {
        if (need >= peak || now - peakAt > PEAK_TIME) notePeak(need, now)
        return peak
    }

    private fun notePeak(
        need: Int,
        now: Instant,
    ) {
        peak = need
        peakAt = now
    }

    /** Enough to begin a burst with; a second and third server of a zone also bear the loss of one. */
    private fun floor(range: ScalingRange): Int =
        minOf(range.maximum, maxOf(range.minimum, if (range.spotPrice == null) ORDINARY_FLOOR else SPOT_FLOOR))

    private companion object {
        // Reading a prompt holds up every answer on the same server, so a server is full long before it always reads.
        const val READ_SECONDS_PER_SERVER = 0.14
        const val RUNNING_PER_SERVER = 8.0
        const val ORDINARY_FLOOR = 2
        const val SPOT_FLOOR = 3
        val PEAK_TIME: Duration = 20.seconds

        // A reclaim lasts several seconds; asking earlier is refused again.
        val SPOT_PAUSE: Duration = 6.seconds
    }
}
