/*
 * Writes usage for entry VMs that the store turns away while it serves others. Counts are cumulative and a higher
 * sequence wins, so it does no harm if the VM that counted writes them as well.
 */
package org.ragwortlever.daemon.fleet

import com.github.michaelbull.result.get
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.Serializable
import org.ragwortlever.core.fleet.NodeRecord
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.core.membership.rendezvousOrder
import org.ragwortlever.core.usage.FlushStage
import org.ragwortlever.core.usage.UsageFlush
import org.ragwortlever.core.usage.UsagePart
import kotlin.time.Duration.Companion.seconds

/** The counts of [source] in [window]; [found] is the revision of the part that the sender knows to be in the store. */
@Serializable
internal data class ForwardedUsage(
    val window: String,
    val source: String,
    val part: UsagePart,
    val found: Long,
)

/** The part is in the store, at revision [found]. */
@Serializable
internal data class ForwardedUsageWritten(
    val found: Long,
)

/**
 * @param others the other entry VMs.
 * @param write writes a part to the store; null if the store did not take it.
 */
internal class UsageForwarder(
    private val self: String,
    private val peers: PeerClient,
    private val others: () -> Collection<NodeRecord>,
    private val write: (UsageFlush) -> UsageFlush?,
) {
    /** Has another VM write [flush]; null when none of those that are asked could. */
    fun forward(flush: UsageFlush): UsageFlush? {
        val byName = others().filter { it.peers.isNotEmpty() }.associateBy { it.name }
        val request = ForwardedUsage(flush.window, flush.source, flush.part, flush.found)
        return rendezvousOrder("$self ${flush.window}", byName.keys)
            .take(MAX_PEERS_ASKED)
            .firstNotNullOfOrNull { name -> peers.call(byName.getValue(name), ROUTE, request, CALL_TIMEOUT).get() }
            ?.let { flush.copy(stage = FlushStage.DONE, found = it.found) }
            .also { logger.info { eventLine("usage-handed-over", "window" to flush.window, "taken" to (it != null)) } }
    }

    /** Writes another VM's part; null if the store does not serve this VM either. */
    fun writeForwarded(forwarded: ForwardedUsage): ForwardedUsageWritten? {
        val flush = UsageFlush(forwarded.window, forwarded.source, forwarded.part, FlushStage.WRITE_OPEN, forwarded.found)
        return write(flush)?.let { ForwardedUsageWritten(it.found) }
    }

    companion object {
        private val logger = KotlinLogging.logger {}
        val ROUTE = PeerRoute("/usage", ForwardedUsage.serializer(), ForwardedUsageWritten.serializer())

        // With a third of the VMs turned away, one in eighty finds none that can help, and tries again.
        private const val MAX_PEERS_ASKED = 4

        // A call to a slow store and a second one for a window that has closed meanwhile.
        private val CALL_TIMEOUT = 2.seconds
    }
}
