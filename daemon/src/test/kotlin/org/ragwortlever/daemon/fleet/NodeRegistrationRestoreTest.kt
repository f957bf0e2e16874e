package org.ragwortlever.daemon.fleet

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.junit.jupiter.api.Test
import org.ragwortlever.core.fleet.NodeRecord
import org.ragwortlever.core.store.StoreFailure
import org.ragwortlever.core.store.StoreRead
import org.ragwortlever.core.store.Transaction
import org.ragwortlever.core.store.TransactionResult
import org.ragwortlever.core.store.Write
import org.ragwortlever.core.store.leaseInEpoch
import org.ragwortlever.core.store.revisionInEpoch
import org.ragwortlever.daemon.platform.KeyValueStore
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** A VM stays registered when the store comes back from a copy that lacks its entry and its lease. */
class NodeRegistrationRestoreTest {
    private val store = RestoredStore()
    private val registration = NodeRegistration(NodeRecord("one", 1, "10.0.0.1:80", "a", "r"), store, { false }, { emptyMap() })

    private fun nextLease() = checkNotNull(store.writtenLeases.poll(20, TimeUnit.SECONDS))

    @Test
    fun `given a registered VM, when the store has been restored, then the VM registers again under a lease of the new epoch`() {
        registration.use {
            it.start()
            expectThat(nextLease()).isEqualTo(1)
            store.restore()
            expectThat(nextLease()).isEqualTo(leaseInEpoch(1, 1))
        }
    }

    @Test
    fun `given a restore between the grant and the write, when the write fails, then the VM registers under a new lease`() {
        registration.use {
            store.beforeCommit = {
                store.beforeCommit = {}
                store.restore()
            }
            it.start()
            expectThat(nextLease()).isEqualTo(leaseInEpoch(1, 1))
        }
    }

    /** Answers as the client of the store does: what refers to an earlier epoch is gone. */
    private class RestoredStore : KeyValueStore {
        val writtenLeases = LinkedBlockingQueue<Long>()

        @Volatile
        var beforeCommit: () -> Unit = {}
        private val leases = HashSet<Long>()

        @Volatile
        override var epoch = 0L
            private set

        /** Comes back from a copy without a lease. */
        @Synchronized
        fun restore() {
            epoch++
            leases.clear()
        }

        @Synchronized
        override fun grantLease(duration: Duration): Result<Long, StoreFailure> =
            Ok(leaseInEpoch(epoch, leases.size + 1L).also(leases::add))

        @Synchronized
        override fun keepAlive(lease: Long): Result<Boolean, StoreFailure> = Ok(lease in leases)

        @Synchronized
        override fun commit(transaction: Transaction): Result<TransactionResult, StoreFailure> {
            beforeCommit()
            val lease = transaction.writes.filterIsInstance<Write.Put>().single().lease
            if (lease !in leases) return Ok(TransactionResult.ConditionFailed)
            writtenLeases += lease
            return Ok(TransactionResult.Committed(revisionInEpoch(epoch, 1)))
        }

        override fun revokeLease(lease: Long): Result<Unit, StoreFailure> = Ok(Unit)

        override fun read(key: String): Result<StoreRead, StoreFailure> = unused()

        override fun readPrefix(prefix: String): Result<StoreRead, StoreFailure> = unused()

        override fun watch(
            prefix: String,
            fromRevision: Long,
            onRevision: (Long) -> Boolean,
        ): Result<Unit, StoreFailure> = unused()

        private fun unused() = Err(StoreFailure.NotSent("not part of this test"))
    }
}
