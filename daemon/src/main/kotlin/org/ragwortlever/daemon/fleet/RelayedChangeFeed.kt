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

/** Returns the relay among [nodes] for the VM [self], or null if it reads from the store directly. */
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

/**
 * Reads changes through a relay, another entry VM, if the fleet is large.
 *
 * A relay that does not respond, or whose state is too old, is excluded for [RELAY_EXCLUSION_TIME], and the changes are
 * read from the store immediately.
 */
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

    /** Whether the last changes came from a relay, which then also has this VM's load. */
    @Volatile
    var isRelayed: Boolean = false
        private set

    override val pause: Duration get() = if (isRelayed) Duration.ZERO else storeFeed.pause

    /** Age of the state that the last response confirmed; zero if it came from the store. */
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
        if (answer.ageMilliseconds.milliseconds > MAX_STATE_AGE) return excludeRelay(relay, "stale state: ${answer.ageMilliseconds} ms old")
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

        // Two poll intervals of a relay, which reads from the store.
        val MAX_STATE_AGE = 1800.milliseconds
        val RELAY_EXCLUSION_TIME = 4.seconds
    }
}

// Up to this number of VMs, the store can serve each one directly.
private const val MAX_NODES_WITHOUT_RELAYS = 10

// Each VM that uses a relay has one waiting request there, which occupies a thread of the relay.
private const val NODES_PER_RELAY = 30
