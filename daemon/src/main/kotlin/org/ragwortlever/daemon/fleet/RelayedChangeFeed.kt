package org.ragwortlever.daemon.fleet

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import org.ragwortlever.core.fleet.NodeRecord
import org.ragwortlever.core.fleet.RelayRequest
import org.ragwortlever.core.fleet.RelayResponse
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

/** Returns the VM among [nodes] that relays to the VM [self] while the store does not serve it, or null if there is none. */
internal fun selectSubstitute(
    self: String,
    nodes: Collection<NodeRecord>,
    excludedRelays: Set<String>,
): NodeRecord? {
    val others = nodes.filter { it.name != self && it.name !in excludedRelays && it.peers.isNotEmpty() }.associateBy { it.name }
    return rendezvousOrder(self, others.keys).firstOrNull()?.let(others::get)
}

/**
 * Reads changes through a relay, another entry VM, if the fleet is large, or if the store does not serve this VM: it may turn
 * some VMs away, or they may be cut off from it, while it serves the others.
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

    /** When the first of the store's calls in a row had failed; null if the last one was answered. */
    private var storeFailedAt: Instant? = null

    /** Until when a substitute is asked before the store, which has not answered the last call. */
    private var substitutedUntil = Instant.DISTANT_PAST

    /** Whether the last changes came from a relay, which then also has this VM's load. */
    @Volatile
    var isRelayed: Boolean = false
        private set

    override val pause: Duration get() = if (isRelayed || isSubstituted) Duration.ZERO else storeFeed.pause

    private val isSubstituted: Boolean get() = now() < substitutedUntil

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
        val relayed = relay?.let { fetchFromRelay(it, revision, wait) }
        isRelayed = relayed != null
        if (relayed != null) {
            storeFailedAt = null
            return Ok(relayed)
        }
        if (isSubstituted) fetchFromSubstitute(revision, wait)?.let { return Ok(it) }
        return readFromStore(prefix, revision, wait)
    }

    private fun readFromStore(
        prefix: String,
        revision: Long,
        wait: Duration,
    ): Result<StoreChanges, StoreFailure> {
        // A store that has not answered the last call may let this one wait until its timeout.
        val answer = storeFeed.changes(prefix, revision, if (storeFailedAt == null) wait else Duration.ZERO)
        substitutedUntil = Instant.DISTANT_PAST
        if (answer.isOk) {
            logRelayIfChanged(null)
            storeFailedAt = null
            age = Duration.ZERO
            return answer
        }
        if (storeFailedAt == null) storeFailedAt = now()
        val relayed = fetchFromSubstitute(revision, Duration.ZERO) ?: return answer
        substitutedUntil = now() + SUBSTITUTION_TIME
        return Ok(relayed)
    }

    /**
     * Another VM's changes after [revision]; null if it has not kept them all, or has had no answer of the store since the
     * store failed to answer this VM, so that the store may have an outage.
     */
    private fun fetchFromSubstitute(
        revision: Long,
        wait: Duration,
    ): StoreChanges? {
        val substitute = selectSubstitute(self, nodes(), excludedRelays.keys) ?: return null
        val askedAt = now()
        // Without the load, which this VM registers itself.
        val answer = ask(substitute, revision, wait, emptyMap()) ?: return null
        // The earliest time possible: the age is rounded down and counts from after the question.
        val confirmedAt = askedAt - answer.ageMilliseconds.milliseconds - 1.milliseconds
        val hasServedSince = storeFailedAt?.let { confirmedAt > it } ?: false
        val isRecent = answer.ageMilliseconds.milliseconds <= MAX_SUBSTITUTE_AGE
        return if (hasServedSince && isRecent && answer.changes != null) accept(substitute, answer) else null
    }

    private fun fetchFromRelay(
        relay: NodeRecord,
        revision: Long,
        wait: Duration,
    ): StoreChanges? {
        val answer = ask(relay, revision, wait, load()) ?: return null
        val isRecent = answer.ageMilliseconds.milliseconds <= MAX_STATE_AGE
        return if (isRecent) accept(relay, answer) else excludeRelay(relay, "stale state: ${answer.ageMilliseconds} ms old")
    }

    private fun ask(
        relay: NodeRecord,
        revision: Long,
        wait: Duration,
        load: Map<String, ServiceLoad>,
    ): RelayResponse? {
        val request = RelayRequest(self, revision, wait.inWholeMilliseconds, load)
        return peers.call(relay, Relay.ROUTE, request, wait + RESPONSE_MARGIN).getOrElse { excludeRelay(relay, it) }
    }

    private fun accept(
        relay: NodeRecord,
        answer: RelayResponse,
    ): StoreChanges {
        logRelayIfChanged(relay)
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
    ): Nothing? {
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

        // A VM that reads from the store has an answer at least every two seconds.
        val MAX_SUBSTITUTE_AGE = 2.2.seconds

        // Each call to a store that does not answer delays the changes by its timeout.
        val SUBSTITUTION_TIME = 3.seconds
    }
}

// Up to this number of VMs, the store can serve each one directly.
private const val MAX_NODES_WITHOUT_RELAYS = 10

// Each VM that uses a relay has one waiting request there, which occupies a thread of the relay.
private const val NODES_PER_RELAY = 30
