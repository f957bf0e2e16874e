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

/**
 * The usage counts of the entry VM [source] in [window], sent to another entry VM to be written.
 *
 * @property found store revision of the part that was last known to the sender.
 */
@Serializable
internal data class ForwardedUsage(
    val window: String,
    val source: String,
    val part: UsagePart,
    val found: Long,
)

/** Confirms that the part was written to the store, at revision [found]. */
@Serializable
internal data class ForwardedUsageWritten(
    val found: Long,
)

/**
 * Forwards usage counts between entry VMs when the store rejects some VMs while it serves others.
 *
 * Counts are cumulative and the part with the higher sequence wins, so it is harmless if the VM that counted also writes
 * them.
 *
 * @param others the other entry VMs.
 * @param write writes a part to the store and returns null if the store did not accept it.
 */
internal class UsageForwarder(
    private val self: String,
    private val peers: PeerClient,
    private val others: () -> Collection<NodeRecord>,
    private val write: (UsageFlush) -> UsageFlush?,
) {
    /** Asks other VMs to write [flush], up to [MAX_PEERS_ASKED] in turn. Returns null if none of them could. Blocks. */
    fun forward(flush: UsageFlush): UsageFlush? {
        val byName = others().filter { it.peers.isNotEmpty() }.associateBy { it.name }
        val request = ForwardedUsage(flush.window, flush.source, flush.part, flush.storedRevision)
        return rendezvousOrder("$self ${flush.window}", byName.keys)
            .take(MAX_PEERS_ASKED)
            .firstNotNullOfOrNull { name -> peers.call(byName.getValue(name), ROUTE, request, CALL_TIMEOUT).get() }
            ?.let { flush.copy(stage = FlushStage.DONE, storedRevision = it.found) }
            .also { logger.info { eventLine("usage-handed-over", "window" to flush.window, "taken" to (it != null)) } }
    }

    /** Writes the part of another VM. Returns null if the store does not accept it from this VM either. */
    fun writeForwarded(forwarded: ForwardedUsage): ForwardedUsageWritten? {
        val flush = UsageFlush(forwarded.window, forwarded.source, forwarded.part, FlushStage.WRITE_OPEN, forwarded.found)
        return write(flush)?.let { ForwardedUsageWritten(it.storedRevision) }
    }

    companion object {
        private val logger = KotlinLogging.logger {}
        val ROUTE = PeerRoute("/usage", ForwardedUsage.serializer(), ForwardedUsageWritten.serializer())

        // If the store rejects a third of the VMs, one forward in eighty reaches no VM that can write, and is retried.
        private const val MAX_PEERS_ASKED = 4

        // Covers a call to a slow store and a second one if the window has been closed in the meantime.
        private val CALL_TIMEOUT = 2.seconds
    }
}
