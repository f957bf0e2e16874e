package org.ragwortlever.daemon.role

import com.github.michaelbull.result.Result
import org.junit.jupiter.api.Test
import org.ragwortlever.core.lease.HeldLease
import org.ragwortlever.core.store.StoreFailure
import org.ragwortlever.core.store.StoreRead
import org.ragwortlever.core.store.Transaction
import org.ragwortlever.core.store.TransactionResult
import org.ragwortlever.daemon.configuration.MemoryStore
import org.ragwortlever.daemon.platform.KeyValueStore
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests the number of store calls of a flush, because each call has a price and a large fleet makes many. */
class UsageFlushCostTest {
    private class CountingStore(
        private val store: KeyValueStore = MemoryStore(),
    ) : KeyValueStore by store {
        val calls: MutableList<String> = ArrayList()

        override fun read(key: String): Result<StoreRead, StoreFailure> {
            calls += "read"
            return store.read(key)
        }

        override fun commit(transaction: Transaction): Result<TransactionResult, StoreFailure> {
            calls += "commit"
            return store.commit(transaction)
        }
    }

    private object NoLease : RoleLease {
        override fun now(): Instant = Instant.DISTANT_PAST

        override fun held(): HeldLease? = null

        override fun isSafeToSend(fencing: Long) = false
    }

    private var now = Instant.fromEpochSeconds(1000)
    private val store = CountingStore()

    private fun createRole(isOpenWindowFlushed: Boolean) =
        UsageRole(
            store = store,
            lease = NoLease,
            now = { now },
            source = "vm-1",
            nextFlush = { it + 1.seconds },
            times = UsageTimes(windowLength = 5.seconds),
            isOpenWindowFlushed = { isOpenWindowFlushed },
            reportSender = { _, _ -> SendOutcome.NotSent },
        )

    @Test
    fun `given an open window, when it is flushed several times, then each flush is one store call`() {
        val role = createRole(isOpenWindowFlushed = true)
        repeat(3) {
            role.record("account", 0, 0)
            role.flush()
        }
        expectThat(store.calls).containsExactly("commit", "commit", "commit")
    }

    @Test
    fun `given a large fleet, when counts are flushed before and after the end of a window, then it is written once, after its end`() {
        val role = createRole(isOpenWindowFlushed = false)
        role.record("account", 0, 0)
        role.flush()
        expectThat(store.calls).isEmpty()
        now += 5.seconds
        role.record("account", 0, 0)
        role.flush()
        expectThat(store.calls).containsExactly("commit")
    }

    @Test
    fun `given a large fleet, when a VM stops, then its open window is flushed too`() {
        val role = createRole(isOpenWindowFlushed = false)
        role.record("account", 0, 0)
        role.close()
        expectThat(store.calls).containsExactly("commit")
    }
}
