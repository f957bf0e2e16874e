package org.ragwortlever.daemon.fleet

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.ragwortlever.core.fleet.CrashRecord
import org.ragwortlever.core.fleet.FleetChange
import org.ragwortlever.core.fleet.FleetKeys
import org.ragwortlever.core.fleet.FleetRecord
import org.ragwortlever.core.fleet.FleetView
import org.ragwortlever.core.fleet.NodeRecord
import org.ragwortlever.core.fleet.QuarantineRecord
import org.ragwortlever.core.store.StoreChange
import org.ragwortlever.core.store.StoreChanges
import org.ragwortlever.core.store.StoreEntry
import org.ragwortlever.core.store.StoreFailure
import org.ragwortlever.core.store.StoreRead
import org.ragwortlever.daemon.platform.ChangeFeed
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Clock
import kotlin.time.Duration

class FleetFollowerTest {
    private val listings = LinkedBlockingQueue<Result<StoreRead, StoreFailure>>()
    private val changes = LinkedBlockingQueue<Result<StoreChanges, StoreFailure>>()
    private val requestedRevisions = CopyOnWriteArrayList<Long>()
    private val observedNodes = LinkedBlockingQueue<Set<String>>()
    private val removedKeys = CopyOnWriteArrayList<String>()
    private val listedKeys = CopyOnWriteArrayList<Set<String>>()
    private val crashedServers = CopyOnWriteArrayList<String>()
    private val quarantinedParts = CopyOnWriteArrayList<String>()
    private val feed =
        object : ChangeFeed {
            override val pause = Duration.ZERO

            override fun readPrefix(prefix: String): Result<StoreRead, StoreFailure> = listings.take()

            override fun changes(
                prefix: String,
                revision: Long,
                wait: Duration,
            ): Result<StoreChanges, StoreFailure> {
                requestedRevisions += revision
                return changes.take()
            }
        }
    private fun decodingFails(): FleetRecord? = throw StackOverflowError()

    private val decoder =
        object : FleetDecoder {
            override val prefix = ""

            override fun decode(entry: StoreEntry): FleetRecord? = if (entry.key == "odd") decodingFails() else null

            override fun decodeRemoval(key: String): FleetRecord? = null
        }
    private val listener =
        object : FleetListener {
            override fun onFleetChanged(
                view: FleetView,
                changes: Set<FleetChange>,
            ) {
                observedNodes += view.nodes.keys.toSet()
            }

            override fun onCrashReported(record: FleetRecord.CrashReported) {
                crashedServers += record.crash.server
            }

            override fun onPartQuarantined(record: FleetRecord.PartQuarantined) {
                quarantinedParts += record.quarantine.part
            }

            override fun onKeysListed(keys: Set<String>) {
                listedKeys += keys
            }

            override fun onKeyRemoved(key: String) {
                removedKeys += key
            }
        }
    private val follower = FleetFollower(feed, decoder, listener, Clock.System::now)

    @AfterEach
    fun close() = follower.close()

    private fun node(name: String) = StoreEntry(FleetKeys.node(name), NodeRecord(name, 1, "10.0.0.1:80", "a", "r").encode(), 1, 1)

    private fun nextNodes() = checkNotNull(observedNodes.poll(20, TimeUnit.SECONDS))

    @Test
    fun `given a store with changes, when the follower polls, then the view includes them from the listed revision on`() {
        listings += Ok(StoreRead(10, listOf(node("one"))))
        changes += Ok(StoreChanges.Since(12, listOf(StoreChange.Put(node("two")))))
        changes += Ok(StoreChanges.Since(13, listOf(StoreChange.Removed(FleetKeys.node("one")))))
        follower.start()
        expectThat(nextNodes()).isEqualTo(setOf("one"))
        expectThat(nextNodes()).isEqualTo(setOf("one", "two"))
        expectThat(nextNodes()).isEqualTo(setOf("two"))
        expectThat(requestedRevisions.toList().take(2)).containsExactly(10L, 12L)
        expectThat(removedKeys).containsExactly(FleetKeys.node("one"))
    }

    @Test
    fun `given a compacted history, when the follower polls, then it lists all entries and drops the missing ones`() {
        listings += Ok(StoreRead(10, listOf(node("one"))))
        listings += Ok(StoreRead(50, listOf(node("two"))))
        changes += Ok(StoreChanges.HistoryGone)
        changes += Ok(StoreChanges.Since(51, listOf(StoreChange.Put(node("three")))))
        follower.start()
        nextNodes()
        expectThat(nextNodes()).isEqualTo(setOf("two"))
        expectThat(nextNodes()).isEqualTo(setOf("two", "three"))
        expectThat(requestedRevisions.toList().take(2)).containsExactly(10L, 50L)
        // Removals in the compacted history are not reported; the listener detects them by keys missing from the listing.
        expectThat(listedKeys).containsExactly(setOf(FleetKeys.node("one")), setOf(FleetKeys.node("two")))
    }

    @Test
    fun `given quarantined parts in the store, when a VM lists all entries, then it learns of them before it serves`() {
        val quarantine = QuarantineRecord("engines", "culprit", 1000)
        listings +=
            Ok(StoreRead(10, listOf(node("one"), StoreEntry(FleetKeys.quarantine("engines", "culprit"), quarantine.encode(), 2, 2))))
        val second = StoreEntry(FleetKeys.quarantine("engines", "other"), quarantine.copy(part = "other").encode(), 11, 11)
        changes += Ok(StoreChanges.Since(11, listOf(StoreChange.Put(second), StoreChange.Put(node("two")))))
        follower.start()
        nextNodes()
        expectThat(quarantinedParts.first()).isEqualTo("culprit")
        nextNodes()
        expectThat(quarantinedParts).containsExactly("culprit", "other")
    }

    // Guards against an odd entry that ends the thread, after which the VM follows nothing.
    @Test
    fun `given an entry that can't be decoded for an error, when the follower reads it, then the others hold and it goes on`() {
        val odd = StoreEntry("odd", "[[[", 1, 1)
        listings += Ok(StoreRead(10, listOf(odd, node("one"))))
        changes += Ok(StoreChanges.Since(12, listOf(StoreChange.Put(odd), StoreChange.Put(node("two")))))
        changes += Ok(StoreChanges.Since(13, listOf(StoreChange.Put(node("three")))))
        follower.start()
        expectThat(nextNodes()).isEqualTo(setOf("one"))
        expectThat(nextNodes()).isEqualTo(setOf("one", "two"))
        expectThat(nextNodes()).isEqualTo(setOf("one", "two", "three"))
    }

    @Test
    fun `given crash reports in the store, when a VM lists all entries, then it learns of them`() {
        val crash = CrashRecord("i-1@1", "a", setOf("digest"))
        listings += Ok(StoreRead(10, listOf(node("one"), StoreEntry(FleetKeys.crash("vm-1", 1), crash.encode(), 2, 2))))
        follower.start()
        nextNodes()
        expectThat(crashedServers).containsExactly("i-1@1")
    }

    @Test
    fun `given an unavailable store, when it responds again, then changes are requested from the same revision`() {
        listings += Ok(StoreRead(10, listOf(node("one"))))
        changes += Err(StoreFailure.NoAnswer("timeout"))
        changes += Ok(StoreChanges.Since(11, listOf(StoreChange.Put(node("two")))))
        follower.start()
        nextNodes()
        expectThat(nextNodes()).isEqualTo(setOf("one", "two"))
        expectThat(requestedRevisions.toList().take(2)).containsExactly(10L, 10L)
    }
}
