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
internal fun relayFor(
    self: String,
    zone: String,
    nodes: Collection<NodeRecord>,
    passedOver: Set<String>,
): NodeRecord? {
    if (nodes.size <= MOST_WITHOUT_RELAYS) return null
    val near = nodes.filter { it.zone == zone && it.peers.isNotEmpty() }.associateBy { it.name }
    val relays = 1 + near.size / NODES_PER_RELAY
    val candidates = rendezvousOrder(zone, near.keys).take(relays + passedOver.size)
    if (self in candidates.take(relays)) return null
    return rendezvousOrder(self, candidates.filter { it != self && it !in passedOver }).firstOrNull()?.let(near::get)
}

internal class RelayedFeed(
    private val self: String,
    private val zone: String,
    private val direct: ChangeFeed,
    private val peers: PeerClient,
    private val nodes: () -> Collection<NodeRecord>,
    private val load: () -> Map<String, ServiceLoad>,
    private val now: () -> Instant,
) : ChangeFeed {
    private var lastRelay: String? = null
    private val passedOver = HashMap<String, Instant>()

    /** Whether the last answer came from a relay, which then knows this VM's load too. */
    @Volatile
    var isRelayed: Boolean = false
        private set

    override val pause: Duration get() = if (isRelayed) Duration.ZERO else direct.pause

    /** Age of the state that the last answer confirmed. */
    override var age: Duration = Duration.ZERO
        private set

    override fun readPrefix(prefix: String): Result<StoreRead, StoreFailure> = direct.readPrefix(prefix)

    override fun changes(
        prefix: String,
        revision: Long,
        wait: Duration,
    ): Result<StoreChanges, StoreFailure> {
        passedOver.values.removeIf { now() > it }
        val relay = relayFor(self, zone, nodes(), passedOver.keys)
        logIfChanged(relay)
        if (relay != null) ask(relay, revision, wait)?.let { return Ok(it) }
        isRelayed = false
        age = Duration.ZERO
        return direct.changes(prefix, revision, wait)
    }

    private fun ask(
        relay: NodeRecord,
        revision: Long,
        wait: Duration,
    ): StoreChanges? {
        val question = RelayRequest(self, revision, wait.inWholeMilliseconds, load())
        val answer = peers.ask(relay, Relay.ROUTE, question, wait + ANSWER_TIMEOUT).getOrElse { return passOver(relay, it) }
        if (answer.ageMilliseconds.milliseconds > OLDEST_STATE) return passOver(relay, "its state is ${answer.ageMilliseconds} ms old")
        isRelayed = true
        age = answer.ageMilliseconds.milliseconds
        val changes = answer.changes ?: return StoreChanges.HistoryGone
        return StoreChanges.Since(answer.revision, changes.map { it.toStoreChange() })
    }

    private fun logIfChanged(relay: NodeRecord?) {
        if (relay?.name == lastRelay) return
        lastRelay = relay?.name
        logger.info { eventLine("relay-chosen", "relay" to (relay?.name ?: "store"), "nodes" to nodes().size) }
    }

    private fun passOver(
        relay: NodeRecord,
        reason: String,
    ): StoreChanges? {
        logger.info { eventLine("relay-passed-over", "relay" to relay.name, "reason" to reason) }
        passedOver[relay.name] = now() + PASS_OVER
        return null
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        val ANSWER_TIMEOUT = 400.milliseconds

        // Two steps of a relay that follows the store.
        val OLDEST_STATE = 1800.milliseconds
        val PASS_OVER = 4.seconds
    }
}

// With as few VMs as this the store can answer each.
private const val MOST_WITHOUT_RELAYS = 10

// A relay holds one waiting question of each VM that asks it, on a thread each.
private const val NODES_PER_RELAY = 30
