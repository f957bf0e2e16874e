package org.ragwortlever.daemon.fleet

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrThrow
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.ragwortlever.core.fleet.NodeRecord
import org.ragwortlever.core.lease.HeldLease
import org.ragwortlever.core.store.StoreFailure
import org.ragwortlever.core.store.Transaction
import org.ragwortlever.core.store.TransactionResult
import org.ragwortlever.core.usage.UsageKeys
import org.ragwortlever.core.usage.UsagePart
import org.ragwortlever.core.usage.UsageWindow
import org.ragwortlever.daemon.configuration.MemoryStore
import org.ragwortlever.daemon.platform.KeyValueStore
import org.ragwortlever.daemon.role.RoleLease
import org.ragwortlever.daemon.role.SendOutcome
import org.ragwortlever.daemon.role.UsageRole
import org.ragwortlever.daemon.role.UsageTimes
import org.ragwortlever.http.HttpLimits
import org.ragwortlever.http.HttpListener
import org.ragwortlever.http.UndertowListeners
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Guards against lost usage counts while the store rejects some VMs of a large fleet for seconds and serves the others. */
class UsageForwarderTest {
    private var now = Instant.fromEpochSeconds(1000)
    private val store = MemoryStore()
    private val window = UsageWindow.containing(now, WINDOW).name
    private val nodes = ArrayList<NodeRecord>()
    private val listeners = ArrayList<UndertowListeners>()
    private val rejectedNodes = HashSet<String>()
    private val usage = listOf("vm-1", "vm-2", "vm-3").associateWith(::node)

    @AfterEach
    fun close() = listeners.forEach { it.stop() }

    @Test
    fun `given a VM that the store rejects, when its window ends, then another VM writes its counts under its name`() {
        rejectedNodes += listOf("vm-1", "vm-2")
        count("vm-1", requests = 2)
        expectThat(stored("vm-1")).isEqualTo(2)
    }

    @Test
    fun `given counts that another VM wrote, when the VM itself writes again, then its newer counts are stored`() {
        rejectedNodes += "vm-1"
        count("vm-1", requests = 2)
        rejectedNodes.clear()
        count("vm-1", requests = 1)
        expectThat(stored("vm-1")).isEqualTo(3)
    }

    @Test
    fun `given a store that rejects all VMs, when it accepts them again, then the counts are written without loss`() {
        rejectedNodes += usage.keys
        count("vm-1", requests = 2)
        expectThat(store.readPrefix(UsageKeys.openPrefix(window)).getOrThrow { error("no answer") }.entries).isEmpty()
        rejectedNodes.clear()
        usage.getValue("vm-1").flush()
        expectThat(stored("vm-1")).isEqualTo(2)
    }

    private fun count(
        node: String,
        requests: Int,
    ) {
        repeat(requests) { usage.getValue(node).record("account", 0, 0) }
        usage.getValue(node).flush()
    }

    private fun stored(source: String): Long {
        val entry = store.readPrefix(UsageKeys.openPrefix(window)).getOrThrow {
            error("no answer")
        }.entries.single { it.key.endsWith("/$source") }
        return UsagePart.decode(entry.value).counts.getValue("account").requests
    }

    private fun node(name: String): UsageRole {
        lateinit var role: UsageRole
        val forwarder = UsageForwarder(name, PeerClient(), { nodes.filter { it.name != name } }) { role.write(it) }
        role =
            UsageRole(
                store = FailingStore(name),
                lease = NoLease,
                now = { now },
                source = name,
                nextFlush = { it + WINDOW },
                times = UsageTimes(windowLength = WINDOW),
                handOver = forwarder::forward,
                reportSender = { _, _ -> SendOutcome.NotSent },
            )
        val handler = peerHandler(listOf(peerEndpoint(UsageForwarder.ROUTE, forwarder::writeForwarded)))
        val server = UndertowListeners(listOf(HttpListener("127.0.0.1", 0, handler)), HttpLimits(workerThreads = 4)).apply { start() }
        listeners += server
        nodes += NodeRecord(name, 1, "", "a", "r", peers = "127.0.0.1:${server.port()}")
        return role
    }

    private inner class FailingStore(
        private val node: String,
    ) : KeyValueStore by store {
        override fun commit(transaction: Transaction): Result<TransactionResult, StoreFailure> =
            if (node in rejectedNodes) Err(StoreFailure.NotSent("status 503")) else store.commit(transaction)
    }

    private object NoLease : RoleLease {
        override fun now(): Instant = Instant.DISTANT_PAST

        override fun held(): HeldLease? = null

        override fun isSafeToSend(fencing: Long) = false
    }

    private companion object {
        val WINDOW = 5.seconds
    }
}
