/*
 * Keeps this entry VM's entry in the store while it takes requests. The entry hangs on a lease that is renewed, so
 * that it goes soon after its VM.
 */
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
 * @param isRelayed whether this VM follows the fleet through another one, which then gives this VM's load with its own.
 */
class NodeRegistration(
    private val record: NodeRecord,
    private val store: KeyValueStore,
    private val isRelayed: () -> Boolean,
    private val load: () -> Map<String, ServiceLoad>,
) : AutoCloseable {
    private var lease: Long? = null
    private var written = record
    private var renewals = 0
    private val retry = RetryBackoff(FIRST_RETRY, LONGEST_RETRY)

    @Volatile
    private var closed = false

    @Volatile
    private var thread: Thread? = null

    fun start() {
        thread =
            thread(name = "node-registration", isDaemon = true) {
                while (!closed) {
                    val kept = runCatching(::keep).onFailure {
                        logger.error { eventLine("registration-failed", "error" to it) }
                    }.getOrDefault(false)
                    if (kept) retry.reset()
                    runCatching { Thread.sleep((if (kept) renewal() else retry.nextDelay()).inWholeMilliseconds) }
                }
            }
    }

    /** Takes the entry back, so that callers are no longer sent here. */
    override fun close() {
        closed = true
        thread?.interrupt()
        thread?.join(CLOSE_WAIT.inWholeMilliseconds)
        lease?.let { store.revokeLease(it) }
        logger.info { eventLine("unregistered", "node" to record.name) }
    }

    private fun keep(): Boolean {
        lease?.let { held ->
            val alive = store.keepAlive(held).getOrElse { return false }
            if (alive) return refresh(held)
            logger.warn { eventLine("registration-lapsed", "node" to record.name, "lease" to held) }
            lease = null
        }
        val granted = store.grantLease(LEASE).getOrElse { return false }
        if (!write(record.copy(load = load()), granted)) return false
        lease = granted
        logger.info { eventLine("registered", "node" to record.name, "lease" to granted) }
        return true
    }

    private fun renewal() = if (isRelayed()) RELAYED_RENEWAL else RENEWAL

    /** Writes the load anew if it has changed. */
    private fun refresh(lease: Long): Boolean {
        val current = record.copy(load = load())
        if (++renewals < RENEWALS_PER_WRITE || current == written) return true
        renewals = 0
        return write(current, lease)
    }

    private fun write(
        current: NodeRecord,
        lease: Long,
    ): Boolean {
        val write = Write.Put(FleetKeys.node(record.name), current.encode(), lease)
        if (store.commit(Transaction(emptyList(), listOf(write))).get() !is TransactionResult.Committed) return false
        written = current
        return true
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        // A VM that is gone must not be named for more than a few seconds; three renewals may fail before the entry goes.
        val LEASE = 4.seconds
        val RENEWAL = 1.seconds

        // Most VMs of a large fleet, each call at its price; one renewal may still fail before the entry goes.
        val RELAYED_RENEWAL = 1.8.seconds

        // Orders for servers take seconds to have an effect; a fresher load would cost more writes for nothing.
        const val RENEWALS_PER_WRITE = 2
        val FIRST_RETRY = 300.milliseconds

        // The longest pause between ordinary renewals; the lease has ended by then, and a new one takes two calls.
        val LONGEST_RETRY = 1.8.seconds
        val CLOSE_WAIT = 200.milliseconds
    }
}
