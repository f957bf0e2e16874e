package org.ragwortlever.core.scaling

import org.junit.jupiter.api.Test
import org.ragwortlever.core.fleet.ServiceLoad
import org.ragwortlever.core.route.ScalingRange
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class ScalingPolicyTest {
    private val start = Instant.fromEpochSeconds(1000)
    private val zones = listOf("a", "b", "c")
    private val range = ScalingRange(1, 4, 4.seconds, spotPrice = 0.15, zonePrices = mapOf("a" to 1.0, "b" to 0.8, "c" to 1.25))
    private val policy = ScalingPolicy()
    private val idle = ServiceLoad()

    private fun desired(
        load: ServiceLoad,
        running: RunningServers,
        seconds: Int = 0,
    ) = policy.computeDesiredServers(range, load, zones, zones.associateWith { running }, start + seconds.seconds)

    @Test
    fun `given an idle service, then each zone keeps three servers for the start of a burst`() {
        expectThat(desired(idle, RunningServers(0, 3)).values).all { isEqualTo(ZoneServers(0, 3)) }
    }

    @Test
    fun `given a service without spot servers, when it is idle, then each zone keeps two servers`() {
        val withoutSpot = range.copy(spotPrice = null)
        val desired = policy.computeDesiredServers(withoutSpot, idle, zones, zones.associateWith { RunningServers(2, 0) }, start)
        expectThat(desired.values).all { isEqualTo(ZoneServers(2, 0)) }
    }

    @Test
    fun `given on-demand servers, when spot servers have not all started, then the on-demand servers stay`() {
        expectThat(desired(idle, RunningServers(1, 0)).values).all { isEqualTo(ZoneServers(1, 3)) }
        expectThat(desired(idle, RunningServers(1, 2)).values).all { isEqualTo(ZoneServers(1, 3)) }
        expectThat(desired(idle, RunningServers(1, 3)).values).all { isEqualTo(ZoneServers(0, 3)) }
    }

    @Test
    fun `given a burst, when it ends, then servers stay for the next one and are removed later`() {
        val burst = ServiceLoad(prefillSeconds = 2.0, running = 20)
        expectThat(desired(burst, RunningServers(0, 2)).values.sumOf { it.total }).isEqualTo(12)
        expectThat(desired(idle, RunningServers(0, 4), seconds = 5).values.sumOf { it.total }).isEqualTo(12)
        expectThat(desired(idle, RunningServers(0, 4), seconds = 30).values.sumOf { it.total }).isEqualTo(9)
    }

    @Test
    fun `given a zone without spot servers, then other zones get more and on-demand servers serve only the rest`() {
        policy.recordSpotUnavailable("b", start)
        val running = mapOf("a" to RunningServers(0, 3), "b" to RunningServers(0, 0), "c" to RunningServers(0, 3))
        val desired = policy.computeDesiredServers(range, ServiceLoad(prefillSeconds = 2.2), zones, running, start)
        expectThat(desired["a"]).isEqualTo(ZoneServers(0, 4))
        expectThat(desired["c"]).isEqualTo(ZoneServers(0, 4))
        expectThat(desired["b"]).isEqualTo(ZoneServers(1, 0))
        expectThat(desired(idle, RunningServers(1, 0), seconds = 10)["b"]).isEqualTo(ZoneServers(1, 3))
    }

    @Test
    fun `given a zone whose spot servers all leave without an order, then replacements are ordered at once`() {
        val load = ServiceLoad(prefillSeconds = 2.7)
        val before = zones.associateWith { RunningServers(0, 3) }
        policy.computeDesiredServers(range, load, zones, before, start)
        val reclaimed = before + ("b" to RunningServers(0, 0, leavingSpot = 3))
        val desired = policy.computeDesiredServers(range, load, zones, reclaimed, start + 1.seconds)
        expectThat(desired).isEqualTo(mapOf("a" to ZoneServers(0, 4), "b" to ZoneServers(3, 0), "c" to ZoneServers(0, 4)))
    }

    @Test
    fun `given no spot servers in any zone, when a burst has ended, then on-demand servers scale down sooner than spot servers`() {
        val running = zones.associateWith { RunningServers(3, 0) }

        fun onDemand(
            load: ServiceLoad,
            seconds: Int,
        ): Int {
            zones.forEach { policy.recordSpotUnavailable(it, start + seconds.seconds) }
            return policy.computeDesiredServers(range, load, zones, running, start + seconds.seconds).values.sumOf { it.onDemand }
        }
        expectThat(onDemand(ServiceLoad(prefillSeconds = 2.2), seconds = 0)).isEqualTo(9)
        expectThat(onDemand(idle, seconds = 5)).isEqualTo(9)
        expectThat(onDemand(idle, seconds = 9)).isEqualTo(3)
    }

    @Test
    fun `given spot servers that leave by an order, then the zone still counts as having spot supply`() {
        val burst = ServiceLoad(prefillSeconds = 9.0, running = 100)
        desired(burst, RunningServers(0, 4))
        expectThat(desired(idle, RunningServers(0, 3, leavingSpot = 1), seconds = 30)["b"]).isEqualTo(ZoneServers(0, 3))
    }

    @Test
    fun `given zones full of on-demand servers, when there is no load, then several are replaced at once`() {
        val wanted = desired(idle, RunningServers(4, 0))
        expectThat(wanted.values).all { isEqualTo(ZoneServers(2, 2)) }
    }

    @Test
    fun `given a zone full of on-demand servers, when spot servers are available, then they are replaced one by one`() {
        val burst = ServiceLoad(prefillSeconds = 9.0, running = 100)
        var running = RunningServers(4, 0)
        repeat(20) { second ->
            val wanted = checkNotNull(desired(burst, running, seconds = second)["a"])
            // At least three of the four servers must keep serving.
            expectThat(minOf(wanted.onDemand, running.onDemand) + minOf(wanted.spot, running.warmSpot)).isGreaterThanOrEqualTo(3)
            running = RunningServers(wanted.onDemand, wanted.spot, warmSpot = minOf(running.spot, wanted.spot))
        }
        expectThat(running).isEqualTo(RunningServers(0, 4))
    }

    @Test
    fun `given running spot servers, when the platform has no more of them, then none is removed`() {
        zones.forEach { policy.recordSpotUnavailable(it, start) }
        expectThat(desired(ServiceLoad(prefillSeconds = 9.0, running = 100), RunningServers(0, 3))["a"]).isEqualTo(ZoneServers(1, 3))
    }

    @Test
    fun `given running spot servers in a zone that gets no more, when other zones could serve the load, then they stay`() {
        policy.recordSpotUnavailable("b", start)
        expectThat(desired(idle, RunningServers(0, 3))["b"]).isEqualTo(ZoneServers(0, 3))
    }

    @Test
    fun `given a new holder of the duty lease, when it sends its first orders, then it keeps the running servers`() {
        expectThat(desired(idle, RunningServers(0, 4)).values.sumOf { it.total }).isEqualTo(12)
    }

    /** Covers a large fleet that starts: its servers become known one by one, and the first callers arrive as a burst. */
    @Test
    fun `given servers that become known before any load, then as many spot servers stay until the load is known`() {
        val large = range.copy(maximum = 22)
        var running = RunningServers(0, 0)

        fun step(
            seconds: Int,
            load: ServiceLoad = idle,
        ) = policy.computeDesiredServers(large, load, zones, zones.associateWith { running }, start + seconds.seconds).getValue("a")
        running = RunningServers(1, 0)
        step(seconds = 0)
        running = RunningServers(11, 0)
        expectThat(step(seconds = 1)).isEqualTo(ZoneServers(11, 11))
        running = RunningServers(11, 11)
        expectThat(step(seconds = 9)).isEqualTo(ZoneServers(0, 11))
        running = RunningServers(0, 11)
        expectThat(step(seconds = 120)).isEqualTo(ZoneServers(0, 11))
        val light = ServiceLoad(prefillSeconds = 0.2, running = 3)
        expectThat(step(seconds = 121, load = light)).isEqualTo(ZoneServers(0, 11))
        expectThat(step(seconds = 130, load = light)).isEqualTo(ZoneServers(0, 11))
        expectThat(step(seconds = 150, load = light)).isEqualTo(ZoneServers(0, 3))
    }

    @Test
    fun `given any load, then a zone never gets more than its maximum of on-demand and spot servers together`() {
        for (onDemand in 0..4) {
            val wanted = desired(ServiceLoad(prefillSeconds = 9.0, running = 500), RunningServers(onDemand, 0))
            expectThat(wanted.values).all { get { range.maximum - total }.isGreaterThanOrEqualTo(0) }
        }
    }
}
