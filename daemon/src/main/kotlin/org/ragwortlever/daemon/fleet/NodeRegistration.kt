package org.ragwortlever.daemon.fleet

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import org.ragwortlever.core.fleet.FleetKeys
import org.ragwortlever.core.fleet.NodeRecord
import org.ragwortlever.core.fleet.ServiceLoad
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.core.retry.RetryBackoff
import org.ragwortlever.core.store.Transaction
import org.ragwortlever.core.store.TransactionResult
import org.ragwortlever.core.store.Write
import org.ragwortlever.daemon.platform.KeyValueStore
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps this entry VM registered in the store while it accepts requests.
 *
 * The entry is bound to a lease that this class renews, so that the entry expires soon after its VM fails.
 *
 * @param isRelayed whether this VM follows the fleet through a relay, which then reports this VM's load with its own.
 * @param load the load by service to write to the entry.
 */
class NodeRegistration(
    private val record: NodeRecord,
    private val store: KeyValueStore,
    private val isRelayed: () -> Boolean,
    private val load: () -> Map<String, ServiceLoad>,
) : AutoCloseable {
    private var lease: Long? = null
    private var lastWritten = record
    private var renewalsSinceWrite = 0
    private val retry = RetryBackoff(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY)

    @Volatile
    private var isClosed = false

    @Volatile
    private var thread: Thread? = null

    /** Registers this VM and renews the lease on a daemon thread. */
    fun start() {
        thread =
            thread(name = "node-registration", isDaemon = true) {
                while (!isClosed) {
                    val isRegistered = runCatching(::renewOrRegister).onFailure {
                        logger.error { eventLine("registration-failed", "error" to it) }
                    }.getOrDefault(false)
                    if (isRegistered) retry.reset()
                    runCatching { Thread.sleep((if (isRegistered) renewalInterval() else retry.nextDelay()).inWholeMilliseconds) }
                }
            }
    }

    /** Removes the entry by revoking its lease, so that callers are no longer directed to this VM. */
    override fun close() {
        isClosed = true
        thread?.interrupt()
        thread?.join(CLOSE_TIMEOUT.inWholeMilliseconds)
        lease?.let { store.revokeLease(it) }
        logger.info { eventLine("unregistered", "node" to record.name) }
    }

    private fun renewOrRegister(): Boolean {
        lease?.let { leaseId ->
            val isAlive = store.keepAlive(leaseId).getOrElse { return false }
            if (isAlive) return updateLoad(leaseId)
            logger.warn { eventLine("registration-expired", "node" to record.name, "lease" to leaseId) }
            lease = null
        }
        val granted = store.grantLease(LEASE_TTL).getOrElse { return false }
        if (!write(record.copy(load = load()), granted)) return false
        lease = granted
        logger.info { eventLine("registered", "node" to record.name, "lease" to granted) }
        return true
    }

    private fun renewalInterval() = if (isRelayed()) RELAYED_RENEWAL_INTERVAL else RENEWAL_INTERVAL

    /** Writes the load if it has changed, at most once in [RENEWALS_PER_LOAD_WRITE] renewals. */
    private fun updateLoad(lease: Long): Boolean {
        val current = record.copy(load = load())
        if (++renewalsSinceWrite < RENEWALS_PER_LOAD_WRITE || current == lastWritten) return true
        renewalsSinceWrite = 0
        return write(current, lease)
    }

    private fun write(
        current: NodeRecord,
        lease: Long,
    ): Boolean {
        val write = Write.Put(FleetKeys.node(record.name), current.encode(), lease)
        if (store.commit(Transaction(emptyList(), listOf(write))).get() !is TransactionResult.Committed) return false
        lastWritten = current
        return true
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        // A failed VM must not be listed for more than a few seconds. Three renewals may fail before the entry expires.
        val LEASE_TTL = 4.seconds
        val RENEWAL_INTERVAL = 1.seconds

        // Longer, because most VMs of a large fleet are relayed and each call to the store has a cost. One renewal may still fail
        // before the entry expires.
        val RELAYED_RENEWAL_INTERVAL = 1.8.seconds

        // Server orders take seconds to have an effect, so a more recent load would cost writes without a benefit.
        const val RENEWALS_PER_LOAD_WRITE = 2
        val INITIAL_RETRY_DELAY = 300.milliseconds

        // Longest renewal interval. The lease has expired by then, and a new registration takes two calls.
        val MAX_RETRY_DELAY = 1.8.seconds
        val CLOSE_TIMEOUT = 200.milliseconds
    }
}
