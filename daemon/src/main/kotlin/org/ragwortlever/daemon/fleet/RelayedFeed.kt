/*
 * Follows the store through another entry VM where there are many. A relay that does not answer, or whose state is
 * old, is passed over for a while and the store itself is asked at once.
 */
package org.ragwortlever.daemon.fleet

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.ragwortlever.core.fleet.NodeRecord
import org.ragwortlever.core.fleet.RelayAnswer
import org.ragwortlever.core.fleet.RelayQuestion
import org.ragwortlever.core.fleet.ServiceLoad
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.core.membership.rendezvousOrder
import org.ragwortlever.core.store.StoreChanges
import org.ragwortlever.core.store.StoreFailure
import org.ragwortlever.core.store.StoreRead
import org.ragwortlever.daemon.platform.ChangeFeed
import org.ragwortlever.http.KeepAliveSocketFactory
import org.ragwortlever.http.plainHttpClient
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlin.time.toJavaDuration

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

@OptIn(ExperimentalSerializationApi::class)
internal class RelayedFeed(
    private val self: String,
    private val zone: String,
    private val direct: ChangeFeed,
    private val nodes: () -> Collection<NodeRecord>,
    private val load: () -> Map<String, ServiceLoad>,
    private val now: () -> Instant,
) : ChangeFeed {
    private val client =
        plainHttpClient()
            .retryOnConnectionFailure(false)
            .socketFactory(KeepAliveSocketFactory)
            .connectTimeout(CONNECT_TIMEOUT.toJavaDuration())
            .readTimeout(Duration.ZERO.toJavaDuration())
            .build()
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
        val question = RelayQuestion(self, revision, wait.inWholeMilliseconds, load())
        val body = Cbor.encodeToByteArray(RelayQuestion.serializer(), question).toRequestBody()
        val call = client.newCall(Request.Builder().url("http://${relay.peers}${Relay.PATH}").post(body).build())
        call.timeout().timeout((wait + ANSWER_TIMEOUT).inWholeMilliseconds, java.util.concurrent.TimeUnit.MILLISECONDS)
        val answer =
            try {
                call.execute().use { Cbor.decodeFromByteArray(RelayAnswer.serializer(), it.body.bytes()) }
            } catch (failure: IOException) {
                return passOver(relay, failure.toString())
            } catch (failure: SerializationException) {
                return passOver(relay, failure.toString())
            }
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
        val CONNECT_TIMEOUT = 300.milliseconds
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
