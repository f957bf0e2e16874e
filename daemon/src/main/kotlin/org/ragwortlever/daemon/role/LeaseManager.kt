// Claims and renews the lease of one exclusive role on a separate thread.
package org.ragwortlever.daemon.role

import io.github.oshai.kotlinlogging.KotlinLogging
import org.ragwortlever.core.lease.HeldLease
import org.ragwortlever.core.lease.LeaseClaim
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.daemon.platform.KeyValueStore
import kotlin.time.Instant

/** The lease of an exclusive role, as needed by code that sends under it. */
interface RoleLease {
    /** Returns the present time by the clock of the lease, which runs on while the process is suspended. */
    fun now(): Instant

    /** Returns the lease if this node holds it now by its own clock, otherwise null. */
    fun held(): HeldLease?

    /** Returns whether a send that starts now under the fencing token [fencing] ends before the lease does. */
    fun isSafeToSend(fencing: Long): Boolean
}

/**
 * Claims the lease described by [claim] and renews it until it is closed.
 *
 * @param isPreferred whether this node is among the first candidates for the role.
 */
internal class LeaseManager(
    claim: LeaseClaim,
    private val store: KeyValueStore,
    private val clock: () -> Instant,
    private val isPreferred: () -> Boolean,
) : RoleLease,
    AutoCloseable {
    private val times = claim.times
    private var loggedFencing: Long? = null

    @Volatile
    private var claim = claim

    @Volatile
    private var isKeyDeleted = false
    private val thread = RoleThread("lease ${claim.key}", step = ::step)

    override fun now(): Instant = clock()

    override fun held(): HeldLease? = claim.held(now())

    override fun isSafeToSend(fencing: Long): Boolean {
        val held = held() ?: return false
        return held.fencing == fencing && held.isSafeToSend(now(), times)
    }

    fun start() = thread.start()

    /** Handles the deletion of the lease key in the store: the next step polls the key instead of waiting for the poll interval. */
    fun handleKeyDeleted() {
        isKeyDeleted = true
    }

    /** Releases the lease. The caller must have ended all sends under it before. */
    override fun close() {
        thread.close()
        claim = claim.release()
        claim.nextCall(now())?.takeIf { it is org.ragwortlever.core.store.StoreCall.RevokeLease }?.let(store::execute)
    }

    private fun step(): Boolean {
        val askedAt = now()
        if (isKeyDeleted) {
            isKeyDeleted = false
            claim = claim.afterKeyDeleted(askedAt)
        }
        val asking = claim.inEpoch(store.epoch, askedAt).also { claim = it }
        val call = asking.nextCall(askedAt) ?: return false
        val answer = store.execute(call)
        val current = asking.inEpoch(store.epoch, now())
        // An answer to a call of an earlier epoch tells nothing about the lease of this one.
        claim = if (current.epoch == asking.epoch) current.handleAnswer(answer, askedAt, now(), isPreferred()) else current
        val fencing = claim.held(now())?.fencing
        if (loggedFencing != fencing) {
            logger.info {
                eventLine(
                    "role-lease",
                    "key" to claim.key,
                    "epoch" to claim.epoch,
                    "fencing" to fencing,
                    "before" to loggedFencing,
                )
            }
        }
        loggedFencing = fencing
        return true
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
