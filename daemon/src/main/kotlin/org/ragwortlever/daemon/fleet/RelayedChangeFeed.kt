/*
 * Follows the store through another entry VM where there are many. A relay that does not answer, or whose state is
 * old, is passed over for a while and the store itself is asked at once.
 */
package org.ragwortlever.daemon.fleet

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import org.ragwortlever.core.fleet.NodeRecord
import org.ragwortlever.core.fleet.RelayRequest
import org.ragwortlever.core.fleet.ServiceLoad
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.core.membership.rendezvousOrder
import org.ragwortlever.core.store.StoreChanges
import org.ragwortlever.core.store.StoreFailure
import org.ragwortlever.core.store.StoreRead
import org.ragwortlever.daemon.platform.ChangeFeed
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** The relay for the VM [self] among [nodes]; null when it asks the store itself. */
internal fun selectRelay(
    self: String,
    zone: String,
    nodes: Collection<NodeRecord>,
    excludedRelays: Set<String>,
): NodeRecord? {
    if (nodes.size <= MAX_NODES_WITHOUT_RELAYS) return null
    val sameZone = nodes.filter { it.zone == zone && it.peers.isNotEmpty() }.associateBy { it.name }
    val relays = 1 + sameZone.size / NODES_PER_RELAY
    val candidates = rendezvousOrder(zone, sameZone.keys).take(relays + excludedRelays.size)
    if (self in candidates.take(relays)) return null
    return rendezvousOrder(self, candidates.filter { it != self && it !in excludedRelays }).firstOrNull()?.let(sameZone::get)
}

internal class RelayedChangeFeed(
    private val self: String,
    private val zone: String,
    private val storeFeed: ChangeFeed,
    private val peers: PeerClient,
    private val nodes: () -> Collection<NodeRecord>,
    private val load: () -> Map<String, ServiceLoad>,
    private val now: () -> Instant,
) : ChangeFeed {
    private var lastRelay: String? = null
    private val excludedRelays = HashMap<String, Instant>()

    /** Whether the last answer came from a relay, which then knows this VM's load too. */
    @Volatile
    var isRelayed: Boolean = false
        private set

    override val pause: Duration get() = if (isRelayed) Duration.ZERO else storeFeed.pause

    /** Age of the state that the last answer confirmed. */
    override var age: Duration = Duration.ZERO
        private set

    override fun readPrefix(prefix: String): Result<StoreRead, StoreFailure> = storeFeed.readPrefix(prefix)

    override fun changes(
        prefix: String,
        revision: Long,
        wait: Duration,
    ): Result<StoreChanges, StoreFailure> {
        excludedRelays.values.removeIf { now() > it }
        val relay = selectRelay(self, zone, nodes(), excludedRelays.keys)
        logRelayIfChanged(relay)
        if (relay != null) fetchFromRelay(relay, revision, wait)?.let { return Ok(it) }
        isRelayed = false
        age = Duration.ZERO
        return storeFeed.changes(prefix, revision, wait)
    }

    private fun fetchFromRelay(
        relay: NodeRecord,
        revision: Long,
        wait: Duration,
    ): StoreChanges? {
        val request = RelayRequest(self, revision, wait.inWholeMilliseconds, load())
        val answer = peers.call(relay, Relay.ROUTE, request, wait + RESPONSE_MARGIN).getOrElse { return excludeRelay(relay, it) }
        if (answer.ageMilliseconds.milliseconds > MAX_STATE_AGE) return excludeRelay(relay, "its state is ${answer.ageMilliseconds} ms old")
        isRelayed = true
        age = answer.ageMilliseconds.milliseconds
        val changes = answer.changes ?: return StoreChanges.HistoryGone
        return StoreChanges.Since(answer.revision, changes.map { it.toStoreChange() })
    }

    private fun logRelayIfChanged(relay: NodeRecord?) {
        if (relay?.name == lastRelay) return
        lastRelay = relay?.name
        logger.info { eventLine("relay-chosen", "relay" to (relay?.name ?: "store"), "nodes" to nodes().size) }
    }

    private fun excludeRelay(
        relay: NodeRecord,
        reason: String,
    ): StoreChanges? {
        logger.info { eventLine("relay-passed-over", "relay" to relay.name, "reason" to reason) }
        excludedRelays[relay.name] = now() + RELAY_EXCLUSION_TIME
        return null
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        val RESPONSE_MARGIN = 400.milliseconds

        // Two steps of a relay that follows the store.
        val MAX_STATE_AGE = 1800.milliseconds
        val RELAY_EXCLUSION_TIME = 4.seconds
    }
}

// With as few VMs as this the store can answer each.
private const val MAX_NODES_WITHOUT_RELAYS = 10

// A relay holds one waiting request of each VM that asks it, on a thread each.
private const val NODES_PER_RELAY = 30
