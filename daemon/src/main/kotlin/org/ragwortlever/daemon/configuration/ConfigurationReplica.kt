// Keeps this entry VM's configuration at the newest revision: carries out what the distribution of changes decides.
package org.ragwortlever.daemon.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.decodeFromJsonElement
import org.ragwortlever.core.configuration.ConfigurationHead
import org.ragwortlever.core.configuration.ConfigurationKeys
import org.ragwortlever.core.configuration.ConfigurationSnapshot
import org.ragwortlever.core.distribution.ConfigurationDistributor
import org.ragwortlever.core.distribution.DistributionEffect
import org.ragwortlever.core.distribution.DistributionEvent
import org.ragwortlever.core.distribution.DistributionMessage
import org.ragwortlever.core.distribution.EncodedChange
import org.ragwortlever.core.distribution.Sections
import org.ragwortlever.core.distribution.StoreCall
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.core.membership.Peer
import org.ragwortlever.core.store.StoreFailure
import org.ragwortlever.daemon.control.ControlLoop
import org.ragwortlever.daemon.platform.KeyValueStore
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds

/**
 * Follows the configuration; hands each newer snapshot to [onSnapshot].
 *
 * @param headStore the store with a short timeout, because a slow read of the head proves little.
 */
class ConfigurationReplica(
    self: Peer,
    private val store: KeyValueStore,
    private val headStore: KeyValueStore,
    private val repository: ConfigurationRepository,
    private val control: ControlLoop,
    private val clock: Clock,
    private val send: (to: String, message: DistributionMessage) -> Unit,
    private val onSnapshot: (ConfigurationSnapshot) -> Unit,
) : AutoCloseable {
    private val distributor = ConfigurationDistributor(self, Random.Default)
    private val headReads = executor("configuration-head")
    private val reads = executor("configuration-reads")
    private val publishing = executor("configuration-publishing")
    private val watchRun = AtomicInteger()

    /** The newest snapshot seen. It never goes back to an older revision. */
    @Volatile
    var current: ConfigurationSnapshot = ConfigurationSnapshot.EMPTY
        private set

    /** Whether keys of [current] may be accepted; false when this node may have missed a change. */
    @Volatile
    var isTrusted: Boolean = false
        private set

    fun start() {
        handle(DistributionEvent.MembersChanged(emptyList()))
        control.every(TICK) { handleNow(DistributionEvent.Tick) }
    }

    /** Takes [event] on the control thread. */
    fun handle(event: DistributionEvent) = control.post { handleNow(event) }

    /** Passes a change on that was put through this entry VM, even if the store fails right after the put. */
    fun accepted(
        revision: Long,
        text: String,
    ) = handle(DistributionEvent.Accepted(EncodedChange(revision, text)))

    /** Reads the newest configuration soon. */
    fun refresh() = handle(DistributionEvent.HeadChanged)

    override fun close() {
        watchRun.incrementAndGet()
        listOf(headReads, reads, publishing).forEach { it.shutdownNow() }
    }

    private fun handleNow(event: DistributionEvent) {
        distributor.handle(event, clock.now()).forEach(::carryOut)
        val trusted = distributor.isTrusted(clock.now())
        if (trusted != isTrusted) logger.info { eventLine("configuration-trust", "trusted" to trusted, "revision" to distributor.revision) }
        isTrusted = trusted
    }

    private fun carryOut(effect: DistributionEffect) {
        when (effect) {
            is DistributionEffect.Send -> send(effect.to, effect.message)
            is DistributionEffect.Watch -> if (effect.enabled) watch() else watchRun.incrementAndGet()
            is DistributionEffect.InForce -> publishing.submitted { publish(effect.revision, effect.sections) }
            is DistributionEffect.Call -> call(effect)
        }
    }

    private fun call(effect: DistributionEffect.Call) {
        when (effect.call) {
            StoreCall.READ_HEAD -> headReads.submitted { answer(effect.call, readHead()) }
            StoreCall.READ_CHANGES -> reads.submitted { answer(effect.call, readChanges(effect.after)) }
            StoreCall.READ_SECTIONS -> reads.submitted { answer(effect.call, readSections()) }
        }
    }

    private fun answer(
        call: StoreCall,
        result: Result<DistributionEvent, StoreFailure>,
    ) {
        result.onSuccess(::handle).onFailure {
            logger.debug { eventLine("configuration-read-failed", "call" to call, "error" to it) }
            handle(DistributionEvent.StoreFailed(call))
        }
    }

    private fun readHead(): Result<DistributionEvent, StoreFailure> {
        val started = clock.now()
        return headStore.read(ConfigurationKeys.HEAD).map { read ->
            val head = read.entries.firstOrNull()?.let { Json.decodeFromString<ConfigurationHead>(it.value) }
            DistributionEvent.HeadRead(head?.revision ?: 0, started)
        }
    }

    /** Reads change by change, because the store keeps those of a whole day under one prefix. */
    private fun readChanges(after: Long): Result<DistributionEvent, StoreFailure> {
        val changes = ArrayList<EncodedChange>()
        while (true) {
            val revision = after + changes.size + 1
            val read = store.read(ConfigurationKeys.change(revision)).getOrElse { return Err(it) }
            val entry = read.entries.firstOrNull() ?: return Ok(DistributionEvent.ChangesRead(changes))
            changes += EncodedChange(revision, entry.value)
        }
    }

    private fun readSections(): Result<DistributionEvent, StoreFailure> {
        val started = clock.now()
        return repository.load().map { DistributionEvent.SectionsRead(it.head.revision, it.sections, started) }
    }

    private fun publish(
        revision: Long,
        sections: Sections,
    ) {
        if (revision <= current.revision) return
        current = ConfigurationSnapshot(revision, Json.decodeFromJsonElement(JsonObject(sections.mapValues { JsonObject(it.value) })))
        logger.info { eventLine("configuration-in-force", "revision" to revision) }
        onSnapshot(current)
    }

    private fun watch() {
        val run = watchRun.incrementAndGet()
        thread(name = "configuration-watch", isDaemon = true) {
            while (watchRun.get() == run) {
                store.watch(ConfigurationKeys.HEAD, fromRevision = 0) {
                    refresh()
                    watchRun.get() == run
                }
                // After an outage the watchers of all nodes return at different times.
                Thread.sleep(Random.nextLong(WATCH_PAUSE_MILLISECONDS, 4 * WATCH_PAUSE_MILLISECONDS))
            }
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        val TICK = 100.milliseconds
        const val WATCH_PAUSE_MILLISECONDS = 500L

        fun executor(name: String): ExecutorService =
            Executors.newSingleThreadExecutor { task -> Thread(task, name).apply { isDaemon = true } }
    }
}

private fun ExecutorService.submitted(task: () -> Unit) {
    try {
        execute(task)
    } catch (_: RejectedExecutionException) {
        // The daemon is closing.
    }
}
