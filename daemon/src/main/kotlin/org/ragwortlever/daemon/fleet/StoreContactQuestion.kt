package org.ragwortlever.daemon.fleet

import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.Serializable
import org.ragwortlever.core.fleet.NodeRecord
import org.ragwortlever.core.membership.rendezvousOrder
import org.ragwortlever.core.store.StoreContactReport
import org.ragwortlever.core.store.StoreGap
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Asks an entry VM how the store answers it. */
@Serializable
internal data class StoreContactRequest(
    val node: String,
)

/**
 * Asks other entry VMs whether the store has answered them while it did not answer this one.
 *
 * @param others the other entry VMs.
 * @param now a clock that also advances while the VM is suspended, as at the VMs that are asked.
 */
internal class StoreContactQuestion(
    private val self: String,
    private val peers: PeerClient,
    private val others: () -> Collection<NodeRecord>,
    private val now: () -> Instant,
) {
    private var round = 0

    /** Whether one of up to [MAX_PEERS_ASKED] VMs, others each time, had answers of the store before and in [gap]. Blocks. */
    fun wasServed(gap: StoreGap): Boolean {
        val byName = others().filter { it.peers.isNotEmpty() }.associateBy { it.name }
        return rendezvousOrder("$self ${round++}", byName.keys).take(MAX_PEERS_ASKED).any { wasServed(byName.getValue(it), gap) }
    }

    private fun wasServed(
        peer: NodeRecord,
        gap: StoreGap,
    ): Boolean {
        val askedAt = now()
        val report = peers.call(peer, ROUTE, StoreContactRequest(self), CALL_TIMEOUT).getOrElse { return false }
        return report.covers(gap, askedAt, now())
    }

    companion object {
        val ROUTE = PeerRoute("/store-contact", StoreContactRequest.serializer(), StoreContactReport.serializer())
        private const val MAX_PEERS_ASKED = 3

        // A round trip within a region takes a few milliseconds; the follower of the store waits for this call.
        private val CALL_TIMEOUT = 100.milliseconds
    }
}
