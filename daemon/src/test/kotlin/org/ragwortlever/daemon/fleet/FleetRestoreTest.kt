package org.ragwortlever.daemon.fleet

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.fleet.FleetChange
import org.ragwortlever.core.fleet.FleetKeys
import org.ragwortlever.core.fleet.FleetRecord
import org.ragwortlever.core.fleet.FleetView
import org.ragwortlever.core.fleet.NodeRecord
import org.ragwortlever.core.rollout.RolloutOrder
import org.ragwortlever.core.rollout.RolloutRecord
import org.ragwortlever.core.rollout.RolloutStage
import org.ragwortlever.core.rollout.VersionShare
import org.ragwortlever.core.store.StoreChange
import org.ragwortlever.core.store.StoreChanges
import org.ragwortlever.core.store.StoreEntry
import org.ragwortlever.core.store.StoreFailure
import org.ragwortlever.core.store.StoreRead
import org.ragwortlever.core.store.revisionInEpoch
import org.ragwortlever.daemon.platform.ChangeFeed
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** What a VM keeps of the fleet when the store comes back from an older copy, too soon for the VM to miss it. */
class FleetRestoreTest {
    @Volatile
    private var now = Instant.fromEpochSeconds(1000)
    private val listings = LinkedBlockingQueue<Result<StoreRead, StoreFailure>>()
    private val changes = LinkedBlockingQueue<Result<StoreChanges, StoreFailure>>()
    private val observed = LinkedBlockingQueue<Observed>()

    private data class Observed(
        val nodes: Set<String>,
        val servers: Set<String>,
        val zonesTakenOut: Set<String>,
        val shares: Map<String, VersionShare>,
    )

    private val feed =
        object : ChangeFeed {
            override val pause = Duration.ZERO

            override fun readPrefix(prefix: String): Result<StoreRead, StoreFailure> = listings.take()

            override fun changes(
                prefix: String,
                revision: Long,
                wait: Duration,
            ): Result<StoreChanges, StoreFailure> = changes.take()
        }

    private val decoder =
        object : FleetDecoder {
            override val prefix = ""

            override fun decode(entry: StoreEntry): FleetRecord? =
                when (entry.key) {
                    "server" -> FleetRecord.ServerAnnounced(server(entry.value))
                    "order" -> FleetRecord.RolloutOrdered(RolloutOrder("service", entry.value, 20.seconds, entry.modifyRevision))
                    "zone" -> FleetRecord.ZoneTakenOut(entry.value)
                    else -> null
                }

            override fun decodeRemoval(key: String): FleetRecord? = null
        }

    private val listener =
        object : FleetListener {
            override fun onFleetChanged(
                view: FleetView,
                changes: Set<FleetChange>,
            ) {
                observed +=
                    Observed(
                        view.nodes.keys.toSet(),
                        view.servers.usable.mapTo(HashSet()) { it.server.id },
                        view.zonesTakenOut,
                        VersionShare.of(view.rolloutOrders, view.rollouts),
                    )
            }

            override fun onCrashReported(record: FleetRecord.CrashReported) = Unit

            override fun onPartQuarantined(record: FleetRecord.PartQuarantined) = Unit

            override fun onKeyRemoved(key: String) = Unit

            override fun onKeysListed(keys: Set<String>) = Unit
        }
    private val follower = FleetFollower(feed, decoder, listener, { now })

    @AfterEach
    fun close() = follower.close()

    private fun server(id: String) = BackendServer(id, 1, "service", "10.0.0.2:80", "a", 8, false, Duration.ZERO, false, 1)

    private fun entry(
        key: String,
        value: String,
        revision: Long = 1,
    ) = StoreEntry(key, value, 1, revision)

    private fun node(name: String) = entry(FleetKeys.node(name), NodeRecord(name, 1, "10.0.0.1:80", "a", "r").encode())

    private fun record(
        stage: RolloutStage,
        order: Long = 7,
    ): StoreEntry {
        val share = if (stage == RolloutStage.ROLLED_BACK) 0.0 else 0.05
        return entry(FleetKeys.rollout("service"), RolloutRecord("service", order, "v2", stage, share, 0, 0, 20_000, "one").encode())
    }

    private val lost =
        listOf(node("two"), entry("server", "s2"), entry("zone", "b"), entry("order", "v2", 7), record(RolloutStage.COMPLETED))
    private val completed = mapOf("service" to VersionShare("v2", 1.0, isExclusive = true))
    private val nothing = mapOf("service" to VersionShare("v2", 0.0))
    private val known = listOf(node("one"), entry("server", "s1")) + lost
    private val all = Observed(setOf("one", "two"), setOf("s1", "s2"), setOf("b"), completed)
    private val copied = Observed(setOf("one"), setOf("s1"), emptySet(), emptyMap())
    private val copy = listOf(node("one"), entry("server", "s1"))

    private fun next() = checkNotNull(observed.poll(20, TimeUnit.SECONDS))

    private fun startAndList(second: Long) {
        listings += Ok(StoreRead(10, known))
        listings += Ok(StoreRead(second, copy))
        follower.start()
        expectThat(next()).isEqualTo(all)
        changes += Ok(StoreChanges.HistoryGone)
    }

    @Test
    fun `given a copy that lacks servers, VMs, a zone and a roll-out, when they are written again, then they were never gone`() {
        startAndList(revisionInEpoch(1, 8))
        expectThat(next()).isEqualTo(all)
        now += 1.seconds
        val order = entry("order", "v2", revisionInEpoch(1, 10))
        val written = listOf(node("two"), entry("server", "s2"), entry("zone", "b"), order).map { StoreChange.Put(it) }
        changes += Ok(StoreChanges.Since(revisionInEpoch(1, 11), written))
        expectThat(next()).isEqualTo(all)
        now += 30.seconds
        changes += Ok(StoreChanges.Since(revisionInEpoch(1, 12), listOf(StoreChange.Put(node("one")))))
        expectThat(next()).isEqualTo(all)
    }

    @Test
    fun `given a copy that lacks servers, VMs, a zone and a roll-out, when they don't return in time, then they are gone`() {
        startAndList(revisionInEpoch(1, 8))
        expectThat(next()).isEqualTo(all)
        now += 1.seconds
        changes += Ok(StoreChanges.Since(revisionInEpoch(1, 8), listOf(StoreChange.Put(node("one")))))
        expectThat(next()).isEqualTo(all)
        now += 30.seconds
        changes += Ok(StoreChanges.Since(revisionInEpoch(1, 8), emptyList()))
        expectThat(next()).isEqualTo(copied)
    }

    @Test
    fun `given a second listing soon after a restore, when it lacks the same, then what is known is kept until its time is over`() {
        startAndList(revisionInEpoch(1, 8))
        expectThat(next()).isEqualTo(all)
        now += 1.seconds
        listings += Ok(StoreRead(revisionInEpoch(1, 9), copy))
        changes += Ok(StoreChanges.HistoryGone)
        expectThat(next()).isEqualTo(all)
        now += 30.seconds
        changes += Ok(StoreChanges.Since(revisionInEpoch(1, 9), emptyList()))
        expectThat(next()).isEqualTo(copied)
    }

    @Test
    fun `given a copy with an earlier stage, when a roll-out was rolled back since, then it stays so until another holder completes it`() {
        listings += Ok(StoreRead(10, listOf(entry("order", "v2", 7), record(RolloutStage.ROLLED_BACK))))
        listings += Ok(StoreRead(revisionInEpoch(1, 8), listOf(entry("order", "v2", revisionInEpoch(1, 7)), record(RolloutStage.CANARY))))
        follower.start()
        expectThat(next().shares).isEqualTo(nothing)
        changes += Ok(StoreChanges.HistoryGone)
        expectThat(next().shares).isEqualTo(nothing)
        listOf(
            RolloutStage.CANARY to nothing,
            RolloutStage.PROMOTED to nothing,
            RolloutStage.COMPLETED to completed,
        ).forEach { (stage, shares) ->
            now += 30.seconds
            changes += Ok(StoreChanges.Since(revisionInEpoch(1, 9), listOf(StoreChange.Put(record(stage, revisionInEpoch(1, 7))))))
            expectThat(next().shares).isEqualTo(shares)
        }
    }

    @Test
    fun `given a copy with the order before, when the newer order is written again, then the older one was never in force`() {
        listings += Ok(StoreRead(10, known))
        listings += Ok(StoreRead(revisionInEpoch(1, 5), listOf(entry("order", "v1", revisionInEpoch(1, 4)))))
        follower.start()
        expectThat(next().shares).isEqualTo(completed)
        changes += Ok(StoreChanges.HistoryGone)
        expectThat(next().shares).isEqualTo(completed)
        changes += Ok(StoreChanges.Since(revisionInEpoch(1, 6), listOf(StoreChange.Put(entry("order", "v2", revisionInEpoch(1, 6))))))
        expectThat(next().shares).isEqualTo(completed)
    }

    @Test
    fun `given a listing of the same epoch, when it lacks entries, then they are gone at once`() {
        startAndList(50)
        expectThat(next()).isEqualTo(copied)
    }
}
