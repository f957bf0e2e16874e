/*
 * Keeps a view of the fleet up to date from the store. Backend servers announce themselves all the time, so a watch
 * that waits for the next change would return at once again and again: the follower asks in steady steps instead and
 * takes all changes of a step in one call.
 */
package org.ragwortlever.daemon.fleet

import com.github.michaelbull.result.fold
import io.github.oshai.kotlinlogging.KotlinLogging
import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.fleet.ChangeLog
import org.ragwortlever.core.fleet.FleetChange
import org.ragwortlever.core.fleet.FleetKeys
import org.ragwortlever.core.fleet.FleetRecord
import org.ragwortlever.core.fleet.FleetView
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.core.retry.RetryBackoff
import org.ragwortlever.core.store.StoreChange
import org.ragwortlever.core.store.StoreChanges
import org.ragwortlever.core.store.StoreEntry
import org.ragwortlever.core.store.StoreFailure
import org.ragwortlever.daemon.platform.ChangeFeed
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Translates the platform's entries into records of the fleet. */
interface FleetDecoder {
    /** Prefix under which everything lies that the fleet needs. */
    val prefix: String

    /** The record in [entry]; null for an entry that says nothing of the fleet or can't be read. */
    fun decode(entry: StoreEntry): FleetRecord?

    /** The record of the removal of [key]. */
    fun decodeRemoval(key: String): FleetRecord?
}

/** Takes what the follower learns; called on the follower's thread. */
interface FleetListener {
    fun onFleetChanged(
        view: FleetView,
        changes: Set<FleetChange>,
    )

    fun onCrashReported(record: FleetRecord.CrashReported)

    /** The entry [key] has gone from the store. */
    fun onKeyRemoved(key: String)

    /** A whole listing with [keys] was read; what is not among them may have gone without being told. */
    fun onKeysListed(keys: Set<String>)
}

class FleetFollower(
    private val feed: ChangeFeed,
    private val decoder: FleetDecoder,
    private val listener: FleetListener,
    private val now: () -> Instant,
    private val log: ChangeLog = ChangeLog(),
) : AutoCloseable {
    private val view = FleetView()
    private var revision: Long? = null
    private var unavailableSince: Instant? = null
    private val retry = RetryBackoff(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY)

    @Volatile
    private var isClosed = false
    private var thread: Thread? = null

    fun start() {
        thread = thread(name = "fleet-follower", isDaemon = true) { while (!isClosed) pollAndPause() }
    }

    override fun close() {
        isClosed = true
        thread?.interrupt()
    }

    private fun pollAndPause() {
        val pause =
            try {
                poll()
            } catch (_: InterruptedException) {
                return
            } catch (failure: RuntimeException) {
                logger.error { eventLine("fleet-step-failed", "error" to failure) }
                retry.nextDelay()
            }
        runCatching { Thread.sleep(pause.inWholeMilliseconds) }
    }

    private fun poll(): Duration {
        val from = revision
        val hasAnswer = if (from == null) readAll() else readChanges(from)
        val expired = view.expire(now())
        if (expired.isNotEmpty()) listener.onFleetChanged(view, expired)
        if (!hasAnswer) return retry.nextDelay()
        retry.reset()
        return feed.pause
    }

    private fun readAll(): Boolean =
        feed.readPrefix(decoder.prefix).fold(
            success = { read ->
                markStoreAnswered()
                view.replaceAll(read.entries.mapNotNull(::decode), now())
                revision = read.revision
                log.reset(read.revision, now())
                logger.info {
                    eventLine(
                        "fleet-read",
                        "revision" to read.revision,
                        "servers" to view.servers.all.size,
                        "nodes" to view.nodes.size,
                    )
                }
                listener.onFleetChanged(view, FleetChange.entries.toSet())
                listener.onKeysListed(read.entries.mapTo(HashSet()) { it.key })
                true
            },
            failure = ::markStoreFailed,
        )

    private fun readChanges(from: Long): Boolean =
        feed.changes(decoder.prefix, from, CHANGES_WAIT).fold(
            success = { answer ->
                markStoreAnswered()
                when (answer) {
                    is StoreChanges.Since -> {
                        apply(answer)
                    }
                    StoreChanges.HistoryGone -> {
                        logger.warn { eventLine("fleet-history-gone", "revision" to from) }
                        revision = null
                        return readAll()
                    }
                }
                true
            },
            failure = ::markStoreFailed,
        )

    private fun apply(answer: StoreChanges.Since) {
        val changes = HashSet<FleetChange>()
        answer.changes.forEach { change ->
            if (change is StoreChange.Removed) listener.onKeyRemoved(change.key)
            val record =
                when (change) {
                    is StoreChange.Put -> decode(change.entry)
                    is StoreChange.Removed -> FleetKeys.removal(change.key) ?: decoder.decodeRemoval(change.key)
                }
            if (record is FleetRecord.CrashReported) listener.onCrashReported(record)
            record?.let { apply(it) }?.let { changes += it }
        }
        revision = answer.revision
        log.append(answer.revision, answer.changes, now() - feed.age)
        if (changes.isNotEmpty()) listener.onFleetChanged(view, changes)
    }

    private fun apply(record: FleetRecord): FleetChange? {
        if (record is FleetRecord.ServerAnnounced) logServerIfChanged(record.server)
        if (record is FleetRecord.ServerRemoved) logger.info { eventLine("server-gone", "server" to record.id) }
        if (record is FleetRecord.NodeRemoved) logger.info { eventLine("node-gone", "node" to record.name) }
        return view.apply(record, now())
    }

    /** One line for what decides where requests go, none for the announcements in between. */
    private fun logServerIfChanged(server: BackendServer) {
        val before = view.servers.find(server.id)
        if (before != null && before.incarnation == server.incarnation && before.isDraining == server.isDraining) return
        logger.info {
            eventLine(
                "server-announced",
                "server" to server.id,
                "service" to server.service,
                "zone" to server.zone,
                "address" to server.address,
                "draining" to server.isDraining,
                "spot" to server.isSpot,
                "cold-ms" to server.coldFor.inWholeMilliseconds,
                "incarnation" to server.incarnation,
                "sequence" to server.sequence,
            )
        }
    }

    private fun decode(entry: StoreEntry): FleetRecord? = FleetKeys.decode(entry.key, entry.value) ?: decoder.decode(entry)

    private fun markStoreAnswered() {
        val since = unavailableSince ?: return
        logger.info { eventLine("store-regained", "lost-ms" to (now() - since).inWholeMilliseconds) }
        unavailableSince = null
        view.markStoreAvailable(now())
    }

    private fun markStoreFailed(failure: StoreFailure): Boolean {
        if (unavailableSince == null) {
            unavailableSince = now()
            logger.warn { eventLine("store-lost", "failure" to failure) }
        }
        view.markStoreUnavailable()
        return false
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        val INITIAL_RETRY_DELAY = 300.milliseconds

        // The step of an ordinary follower: a VM that the store turns away must not call more often than the others.
        val MAX_RETRY_DELAY = 900.milliseconds

        // A step without changes ends with this; shorter than the call's own timeout.
        val CHANGES_WAIT = 1.seconds
    }
}
