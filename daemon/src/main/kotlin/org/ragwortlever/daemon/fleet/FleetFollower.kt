package org.ragwortlever.daemon.fleet

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getError
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
import org.ragwortlever.core.store.epochOf
import org.ragwortlever.daemon.platform.ChangeFeed
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Decodes the platform's store entries into fleet records. */
interface FleetDecoder {
    /** Prefix of all keys that the fleet view is built from. */
    val prefix: String

    /** Returns the record in [entry], or null if the entry is not about the fleet or can't be decoded. */
    fun decode(entry: StoreEntry): FleetRecord?

    /** Returns the record for the removal of [key], or null if the key is not about the fleet. */
    fun decodeRemoval(key: String): FleetRecord?
}

/** Receives what [FleetFollower] reads from the store. All functions are called on the follower's thread. */
interface FleetListener {
    /** The parts [changes] of [view] have changed. */
    fun onFleetChanged(
        view: FleetView,
        changes: Set<FleetChange>,
    )

    /** An entry VM has reported the crash of a backend server. May be called several times for the same crash. */
    fun onCrashReported(record: FleetRecord.CrashReported)

    /** An entry VM has found a prompt part that crashes backend servers. May be called several times for the same part. */
    fun onPartQuarantined(record: FleetRecord.PartQuarantined)

    /** The entry [key] was removed from the store. */
    fun onKeyRemoved(key: String)

    /** All entries were read again and have [keys]. A key that is missing may have been removed without [onKeyRemoved]. */
    fun onKeysListed(keys: Set<String>)
}

/**
 * Keeps a [FleetView] up to date from the store and passes changes to [listener].
 *
 * Polls at the interval of [feed] and reads all changes since the last poll in one call. A watch that returns at the
 * next change would return immediately every time, because backend servers announce themselves continuously.
 *
 * @param log records the changes read, so that they can be relayed to other entry VMs.
 * @param gaps tells whether the store or this VM is at fault when the store does not answer.
 * @param sleep waits for the given time, or less if the follower is closed.
 */
class FleetFollower(
    private val feed: ChangeFeed,
    private val decoder: FleetDecoder,
    private val listener: FleetListener,
    private val now: () -> Instant,
    private val log: ChangeLog = ChangeLog(),
    private val gaps: StoreGapTracker = StoreGapTracker(now),
    private val sleep: (Duration) -> Unit = { runCatching { Thread.sleep(it.inWholeMilliseconds) } },
) : AutoCloseable {
    private val view = FleetView()
    private val serverLog = ServerLog(view.servers)
    private var revision: Long? = null
    private var epoch: Long? = null
    private var unavailableSince: Instant? = null
    private val retry = RetryBackoff(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY)

    @Volatile
    private var isClosed = false
    private var thread: Thread? = null

    /** Starts polling on a daemon thread. */
    fun start() {
        thread = thread(name = "fleet-follower", isDaemon = true) { while (!isClosed) pollAndPause() }
    }

    override fun close() {
        isClosed = true
        thread?.interrupt()
    }

    /** Reads the changes since the last call, or all entries, and waits until the next call is due. Blocks. */
    internal fun pollAndPause() {
        val pause =
            try {
                poll()
            } catch (_: InterruptedException) {
                return
            } catch (failure: RuntimeException) {
                logger.error { eventLine("fleet-step-failed", "error" to failure) }
                retry.nextDelay()
            }
        pauseFor(pause)
    }

    /** Waits for [duration] and meanwhile gives up what is kept as soon as its time is over or the last gap is explained. */
    private fun pauseFor(duration: Duration) {
        val end = now() + duration
        var left = duration
        do {
            val step = minOf(left, timeToNextCheck())
            sleep(step)
            try {
                giveUpKept()
            } catch (failure: RuntimeException) {
                logger.error { eventLine("fleet-step-failed", "error" to failure) }
            }
            left = minOf(left - step, end - now())
        } while (!isClosed && left > Duration.ZERO)
    }

    /** At least [MIN_CHECK_INTERVAL], so that a check that changes nothing is not repeated without a pause. */
    private fun timeToNextCheck(): Duration {
        val timeToExpiry = view.nextExpiry?.let { (it - now()).coerceAtLeast(MIN_CHECK_INTERVAL) } ?: Duration.INFINITE
        return if (isQuestionOpen()) minOf(timeToExpiry, QUESTION_INTERVAL) else timeToExpiry
    }

    private fun isQuestionOpen() = gaps.isUnexplained && view.hasKept

    /** Removes what is kept although its entry has ended, if its time is over or the store was not at fault. */
    private fun giveUpKept() {
        val isOwnFault = isQuestionOpen() && gaps.wasOwnFault()
        if (isOwnFault) logger.info { eventLine("store-served-others", "servers-kept" to view.servers.kept.size) }
        val expired = if (isOwnFault) view.dismissOutage(now()) else view.expire(now())
        if (expired.isEmpty()) return
        serverLog.logChanges(ServerLogCause.EXPIRY)
        listener.onFleetChanged(view, expired)
    }

    private fun poll(): Duration {
        val from = revision
        val hasAnswer = if (from == null) readAll() else readChanges(from)
        giveUpKept()
        if (!hasAnswer) return retry.nextDelay()
        retry.reset()
        return feed.pause
    }

    private fun readAll(): Boolean =
        repeatFirstFailure { feed.readPrefix(decoder.prefix) }.fold(
            success = { read ->
                markStoreAnswered()
                val records = read.entries.mapNotNull(::decode)
                val readEpoch = epochOf(read.revision)
                val isRestored = epoch != null && epoch != readEpoch
                if (isRestored) gaps.forget()
                view.replaceAll(records, now(), isRestored)
                epoch = readEpoch
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
                records.forEach(::notifyOfCrash)
                serverLog.logChanges(ServerLogCause.LISTING)
                listener.onFleetChanged(view, FleetChange.entries.toSet())
                listener.onKeysListed(read.entries.mapTo(HashSet()) { it.key })
                true
            },
            failure = ::markStoreFailed,
        )

    private fun readChanges(from: Long): Boolean =
        repeatFirstFailure { feed.changes(decoder.prefix, from, nextWait()) }.fold(
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

    /**
     * Repeats the first [call] that fails at once. The store may cut a single waiting call and serve it when it is repeated,
     * which is no outage. A call without any answer until its timeout may hide a short outage, so it counts as one.
     */
    private fun <T> repeatFirstFailure(call: () -> Result<T, StoreFailure>): Result<T, StoreFailure> {
        val startedAt = now()
        val first = call()
        val failure = first.getError()
        if (failure == null || unavailableSince != null) return first
        if (now() - startedAt > MAX_TIME_TO_CUT) markStoreFailed(failure)
        return call()
    }

    /** An unavailable store is asked without a wait, so that its return is noticed soon. */
    private fun nextWait(): Duration =
        if (unavailableSince != null) Duration.ZERO else minOf(CHANGES_WAIT, timeToNextCheck())

    private fun apply(answer: StoreChanges.Since) {
        val changes = HashSet<FleetChange>()
        answer.changes.forEach { change ->
            if (change is StoreChange.Removed) listener.onKeyRemoved(change.key)
            val record =
                when (change) {
                    is StoreChange.Put -> decode(change.entry)
                    is StoreChange.Removed -> FleetKeys.removal(change.key) ?: decoder.decodeRemoval(change.key)
                }
            record?.let(::notifyOfCrash)
            record?.let { apply(it) }?.let { changes += it }
        }
        revision = answer.revision
        log.append(answer.revision, answer.changes, now() - feed.age)
        if (FleetChange.SERVERS in changes) serverLog.logChanges(ServerLogCause.CHANGE)
        if (changes.isNotEmpty()) listener.onFleetChanged(view, changes)
    }

    private fun notifyOfCrash(record: FleetRecord) {
        if (record is FleetRecord.CrashReported) listener.onCrashReported(record)
        if (record is FleetRecord.PartQuarantined) listener.onPartQuarantined(record)
    }

    private fun apply(record: FleetRecord): FleetChange? {
        if (record is FleetRecord.NodeRemoved) logger.info { eventLine("node-gone", "node" to record.name) }
        val change = view.apply(record, now())
        if (record is FleetRecord.ServerAnnounced && change == null) logOutdated(record.server)
        return change
    }

    private fun logOutdated(server: BackendServer) =
        logger.info {
            eventLine(
                "announcement-outdated",
                "server" to server.id,
                "incarnation" to server.incarnation,
                "sequence" to server.sequence,
                "draining" to server.isDraining,
            )
        }

    /** An entry whose decoding overflows the stack is ignored: the thread has to go on with the others. */
    private fun decode(entry: StoreEntry): FleetRecord? =
        try {
            FleetKeys.decode(entry.key, entry.value) ?: decoder.decode(entry)
        } catch (failure: StackOverflowError) {
            logger.error { eventLine("entry-unreadable", "key" to entry.key, "revision" to entry.modifyRevision, "error" to failure) }
            null
        }

    private fun markStoreAnswered() {
        gaps.recordAnswer(feed.age)
        val since = unavailableSince ?: return
        logger.info { eventLine("store-regained", "lost-ms" to (now() - since).inWholeMilliseconds) }
        unavailableSince = null
        view.markStoreAvailable(now())
    }

    private fun markStoreFailed(failure: StoreFailure): Boolean {
        gaps.recordFailure()
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

        // Poll interval of a healthy follower: a VM that the store rejects must not call more often than the others.
        val MAX_RETRY_DELAY = 900.milliseconds

        // Longest wait for a first change in one poll; shorter than the timeout of the call.
        val CHANGES_WAIT = 1.seconds

        // A call that waits longer has reached its timeout.
        val MAX_TIME_TO_CUT = 1.2.seconds

        // Other VMs have an answer of the store within two seconds, so a few questions are enough.
        val QUESTION_INTERVAL = 300.milliseconds
        val MIN_CHECK_INTERVAL = 10.milliseconds
    }
}
