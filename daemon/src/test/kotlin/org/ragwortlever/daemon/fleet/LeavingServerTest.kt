package org.ragwortlever.daemon.fleet

import org.junit.jupiter.api.Test
import org.ragwortlever.core.fleet.FleetChange
import org.ragwortlever.core.fleet.FleetRecord
import org.ragwortlever.core.fleet.FleetView
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Until when a VM uses servers whose entries end, when calls to the store fail at about that time. In virtual time. */
class LeavingServerTest {
    private val start = Instant.fromEpochSeconds(1000)

    /** The usable servers from [at] on. */
    private data class Usable(
        val at: Instant,
        val servers: Set<String>,
    )

    /** @param canAsk whether other VMs answer questions about the store. */
    private fun follow(
        writes: List<EntryWrite>,
        disruptions: List<Disruption>,
        canAsk: Boolean = true,
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
        val gaps = StoreGapTracker({ store.now }) { canAsk && store.hasServedOthers(it) }
        FleetFollower(store, FollowedStoreDecoder, listener, { store.now }, gaps = gaps, sleep = { store.now += it }).use {
            while (store.now < start + LENGTH) it.pollAndPause()
        }
        return usable
    }

    /** Times at which the VM uses [server], as often as [STEP], in [from] until the end. */
    private fun List<Usable>.timesOfUse(
        server: String,
        from: Instant,
    ): List<Instant> {
        val ends = drop(1).map { it.at } + (start + LENGTH)
        return zip(ends).filter { (usable, _) -> server in usable.servers }.flatMap { (usable, end) ->
            generateSequence(usable.at) { it + STEP }.takeWhile { it < end }.filter { it > from }.toList()
        }
    }

    /** Describes the last use of server one later than the bound after [leftAt], by a VM in touch; null if there is none. */
    private fun findLateUse(
        seed: Long,
        writes: List<EntryWrite>,
        leftAt: Instant,
        disruption: Disruption,
        canAsk: Boolean,
    ): String? =
        follow(writes, listOf(disruption), canAsk)
            .timesOfUse("one", leftAt + DRAIN_BOUND)
            .lastOrNull { time -> time < disruption.from || time >= disruption.to + CONTACT }
            ?.let { "seed $seed: used ${it - leftAt} after it left, at ${it - start}; $disruption, $writes" }

    private fun expectNoLateUse(
        kind: String,
        play: (Long) -> String?,
    ) {
        val late = (0L until SCHEDULES).mapNotNull(play)
        println("$kind, seeds 0 to ${SCHEDULES - 1}: ${late.size} with a late use")
        expectThat(late.take(3)).describedAs("${late.size} of $SCHEDULES schedules; the first: ${late.take(3)}").isEmpty()
    }

    private fun Random.nextDisruption(isStoreWide: Boolean): Disruption {
        val from = start + 5.seconds + nextInt(2000).milliseconds
        return Disruption(from, from + nextInt(50, 4000).milliseconds, isStoreWide, isSilent = nextBoolean())
    }

    /** Server one leaves at [leftAt], one time in three with an announcement; server two stays. */
    private fun Random.nextDeparture(leftAt: Instant): List<EntryWrite> =
        listOf("one", "two").map { EntryWrite(start, it, false, 1) } +
            if (nextInt(3) == 0) {
                listOf(EntryWrite(leftAt, "one", true, 2), EntryWrite(leftAt + 3.seconds, "one", null, 2))
            } else {
                listOf(EntryWrite(leftAt, "one", null, 1))
            }

    // A request reached a server 2.7 s after its entry had ended, from a VM whose own call to the store had failed before.
    @Test
    fun `given a VM that alone loses the store, when a server leaves, then the VM uses it no longer than the drain bound`() =
        expectNoLateUse("one VM") { seed ->
            val random = Random(seed)
            val disruption = random.nextDisruption(isStoreWide = false)
            val leftAt = disruption.to + random.nextInt(-1000, 4000).milliseconds
            findLateUse(seed, random.nextDeparture(leftAt), leftAt, disruption, canAsk = true)
        }

    // A VM that nobody answers must give up a server in time by itself, once the store has been stable for the contact time.
    @Test
    fun `given an outage of the store and no VM to ask, when a server leaves after it, then it is used no longer than the bound`() =
        expectNoLateUse("store") { seed ->
            val random = Random(seed)
            val disruption = random.nextDisruption(isStoreWide = true)
            val leftAt = disruption.to + CONTACT + random.nextInt(4000).milliseconds
            findLateUse(seed, random.nextDeparture(leftAt), leftAt, disruption, canAsk = false)
        }

    // Without servers kept over an outage, a VM would refuse all requests until the servers have written their entries again.
    @Test
    fun `given an outage of the store in which entries run out, when live servers announce themselves in time, then they stay usable`() {
        val unused = (0L until SCHEDULES).filter { seed ->
            val random = Random(seed)
            val disruption = random.nextDisruption(isStoreWide = true).run { copy(to = maxOf(to, from + SHORTEST_NOTICED)) }
            val writes =
                listOf("one", "two").flatMap {
                    listOf(
                        EntryWrite(start, it, false, 1),
                        EntryWrite(disruption.to - 1.milliseconds, it, null, 1),
                        EntryWrite(disruption.to + random.nextInt(2000).milliseconds, it, false, 2),
                    )
                }
            follow(writes.sortedBy { it.at }, listOf(disruption)).any { it.servers != setOf("one", "two") }
        }
        expectThat(unused).isEqualTo(emptyList())
    }

    // The store cuts waiting calls of all VMs at once when it drops its history, so no VM can vouch for it.
    @Test
    fun `given a waiting call that is cut, when the store serves it again at once, then a server that has left is unusable at once`() {
        val cutAt = start + 1.5.seconds
        val cut = Disruption(cutAt, cutAt, isStoreWide = true, isSilent = false)
        val writes = listOf("one", "two").map { EntryWrite(start, it, false, 1) } + EntryWrite(cutAt, "one", null, 1)
        expectThat(follow(writes, listOf(cut), canAsk = false).timesOfUse("one", cutAt)).isEmpty()
    }

    private companion object {
        const val SCHEDULES = 500L
        val LENGTH = 25.seconds
        val STEP = 50.milliseconds

        // The bounds of the platform's pages: a leaving server gets no request later than this, by VMs in touch for so long.
        val DRAIN_BOUND = 2.seconds
        val CONTACT = 3.seconds

        // A shorter outage may fall between two polls. Entries expire after more than two seconds of silence.
        val SHORTEST_NOTICED = 1.seconds
    }
}
