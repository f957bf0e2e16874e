package org.ragwortlever.daemon.fleet

import org.junit.jupiter.api.Test
import org.ragwortlever.core.fleet.FleetChange
import org.ragwortlever.core.fleet.FleetRecord
import org.ragwortlever.core.fleet.FleetView
import strikt.api.expectThat
import strikt.assertions.isEmpty
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Until when a VM uses servers whose entries end, when calls to the store fail at about that time. In virtual time. */
class LeavingServerKnownRed {
    private val start = Instant.fromEpochSeconds(1000)

    /** The usable servers from [at] on. */
    private data class Usable(
        val at: Instant,
        val servers: Set<String>,
    )

    private fun follow(
        writes: List<EntryWrite>,
        disruptions: List<Disruption>,
    ): List<Usable> {
        val store = FollowedStore(writes, disruptions, start)
        val usable = ArrayList<Usable>()
        val listener =
            object : FleetListener {
                override fun onFleetChanged(
                    view: FleetView,
                    changes: Set<FleetChange>,
                ) {
                    usable += Usable(store.now, view.servers.usable.mapTo(HashSet()) { it.server.id })
                }

                override fun onCrashReported(record: FleetRecord.CrashReported) = Unit

                override fun onPartQuarantined(record: FleetRecord.PartQuarantined) = Unit

                override fun onKeyRemoved(key: String) = Unit

                override fun onKeysListed(keys: Set<String>) = Unit
            }
        FleetFollower(store, FollowedStoreDecoder, listener, { store.now }, sleep = { store.now += it }).use {
            while (store.now < start + LENGTH) it.pollAndPause()
        }
        return usable
    }

    /** Times at which the VM uses [server] although it has been in touch for three seconds and two have passed since [leftAt]. */
    private fun List<Usable>.findLateUse(
        server: String,
        leftAt: Instant,
        disruptions: List<Disruption>,
    ): List<Pair<Instant, Duration>> {
        val ends = drop(1).map { it.at } + (start + LENGTH)
        return zip(ends).filter { (usable, _) -> server in usable.servers }.flatMap { (usable, end) ->
            generateSequence(usable.at) { it + STEP }.takeWhile { it < end }.filter { time ->
                time > leftAt + DRAIN_BOUND && disruptions.none { it.from <= time && it.to + CONTACT > time }
            }.map { it to it - leftAt }.toList()
        }
    }

    private fun findLateUse(seed: Long): String? {
        val random = Random(seed)
        val from = start + 5.seconds + random.nextInt(2000).milliseconds
        val disruption = Disruption(from, from + random.nextInt(50, 4000).milliseconds, isStoreWide = false, random.nextBoolean())
        val leftAt = disruption.to + random.nextInt(-1000, 4000).milliseconds
        val writes =
            listOf("one", "two").map { EntryWrite(start, it, false, 1) } +
                if (random.nextInt(3) == 0) {
                    listOf(EntryWrite(leftAt, "one", true, 2), EntryWrite(leftAt + 3.seconds, "one", null, 2))
                } else {
                    listOf(EntryWrite(leftAt, "one", null, 1))
                }
        val late = follow(writes, listOf(disruption)).findLateUse("one", leftAt, listOf(disruption))
        return late.lastOrNull()?.let { (time, age) -> "seed $seed: used $age after it left, at ${time - start}; $disruption, $writes" }
    }

    // A request reached a server 2.7 s after its entry had ended, from a VM whose own call to the store had failed before.
    @Test
    fun `given a VM that alone loses the store, when a server leaves, then the VM uses it no longer than the drain bound`() {
        val late = (0L until SCHEDULES).mapNotNull(::findLateUse)
        println("seeds 0 to ${SCHEDULES - 1}: ${late.size} with a late use")
        expectThat(late.take(3)).describedAs("${late.size} of $SCHEDULES schedules; the first: ${late.take(3)}").isEmpty()
    }

    private companion object {
        const val SCHEDULES = 500L
        val LENGTH = 25.seconds
        val STEP = 50.milliseconds

        // The bounds of the platform's pages: a leaving server gets no request later than this, by VMs in touch for so long.
        val DRAIN_BOUND = 2.seconds
        val CONTACT = 3.seconds
    }
}
