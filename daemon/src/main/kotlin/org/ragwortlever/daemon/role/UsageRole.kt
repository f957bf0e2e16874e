// Counts this node's usage, flushes the counts to the store, and reports sealed windows while this node holds the usage role.
package org.ragwortlever.daemon.role

import com.github.michaelbull.result.fold
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.ragwortlever.core.lease.LeaseTimes
import org.ragwortlever.core.usage.ReporterAnswer
import org.ragwortlever.core.usage.ReporterCall
import org.ragwortlever.core.usage.SealedWindow
import org.ragwortlever.core.usage.UsageCopies
import org.ragwortlever.core.usage.UsageCopy
import org.ragwortlever.core.usage.UsageCounts
import org.ragwortlever.core.usage.UsageFlush
import org.ragwortlever.core.usage.UsageKeys
import org.ragwortlever.core.usage.UsageLedger
import org.ragwortlever.core.usage.UsageReporter
import org.ragwortlever.core.usage.UsageWindow
import org.ragwortlever.daemon.platform.KeyValueStore
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Sends the totals of a sealed window to the usage-report interface. */
fun interface UsageReportSender {
    /** Sends [sealed] under the fencing token [fencing]. */
    fun send(
        sealed: SealedWindow,
        fencing: Long,
    ): SendOutcome
}

/**
 * Times at which usage is counted, flushed and reported.
 *
 * @property windowLength length of a usage window.
 * @property grace time after the end of a window in which nodes flush their counts before the window is closed.
 * @property lease times of the lease of the usage role.
 * @property pause time between two checks whether a flush or a report is due.
 * @property retention time for which counts are kept after their window, in case the store loses what it has acknowledged.
 */
internal data class UsageTimes(
    val windowLength: Duration = UsageWindow.DEFAULT_LENGTH,
    val grace: Duration = 30.seconds,
    val lease: LeaseTimes = LeaseTimes(),
    val pause: Duration = RoleThread.DEFAULT_PAUSE,
    val retention: Duration = Duration.ZERO,
)

/**
 * Counts, flushes and reports usage on two threads.
 *
 * @param source name of this process in the store, unique for each start.
 * @param nextFlush returns the time of the next flush after the given time.
 * @param isOpenWindowFlushed whether windows that have not ended are flushed as well; a large fleet loses little without it.
 * @param handOver asks another node to write a flush that the store did not accept from this one; returns null if none could.
 */
internal class UsageRole(
    private val store: KeyValueStore,
    private val lease: RoleLease,
    private val now: () -> Instant,
    source: String,
    private val nextFlush: (Instant) -> Instant,
    private val times: UsageTimes = UsageTimes(),
    private val isOpenWindowFlushed: () -> Boolean = { true },
    private val handOver: (UsageFlush) -> UsageFlush? = { null },
    private val reportSender: UsageReportSender,
) : AutoCloseable {
    private val ledger = AtomicReference(UsageLedger(source, windowLength = times.windowLength, retention = times.retention))
    private val copies = AtomicReference(UsageCopies())
    private val deadSources = ConcurrentLinkedQueue<String>()
    private val flushThread = RoleThread("usage-flush", times.pause, ::flushIfDue)
    private val reportThread = RoleThread("usage-report", times.pause, ::executeNextReporterCall)
    private var reporter = UsageReporter(times.lease, times.grace, windowLength = times.windowLength)
    private val reporterLog = UsageReporterLog()
    private var flushAt = now()

    fun start() {
        flushThread.start()
        reportThread.start()
    }

    /** Counts one request of [account] when its answer has ended. */
    fun record(
        account: String,
        promptTokens: Int,
        generatedTokens: Int,
    ) {
        val counts = UsageCounts(1, promptTokens.toLong(), generatedTokens.toLong())
        ledger.updateAndGet { it.record(account, counts, now()) }
    }

    /** Returns the counts after sequence [acknowledged], or null if there are none; the peer transport sends them every 200 ms. */
    fun copySince(acknowledged: Long): UsageCopy? = ledger.get().copySince(acknowledged)

    /** Merges the copy of a peer's counts. */
    fun mergeCopy(copy: UsageCopy) {
        copies.updateAndGet { it.merge(copy) }
    }

    /** Queues the copied counts of [source], whose node has failed, for the next flush. */
    fun queueDeadSource(source: String) {
        deadSources += source
    }

    /** Returns all sealed windows as one JSON document, or null if the store does not answer. */
    fun readSealedWindowsJson(): String? =
        store.readPrefix(UsageKeys.SEALED_PREFIX).fold(
            success = { read ->
                val windows = read.entries.map { SealedWindow.decode(it.value) }
                """{"windows":${Json.encodeToString(ListSerializer(SealedWindow.serializer()), windows)}}"""
            },
            failure = { null },
        )

    /** Stops reporting and flushes all counts, including those of the open window. */
    override fun close() {
        reportThread.close()
        flushThread.close()
        enterEpoch()
        flushAll(ledger.get().dueFlushes())
    }

    private fun flushIfDue(): Boolean {
        if (!enterEpoch() && now() < flushAt) return false
        flushAt = nextFlush(now())
        flush()
        return true
    }

    /** Marks all kept counts as not flushed if the store has a new epoch, and returns whether it has. */
    private fun enterEpoch(): Boolean {
        val epoch = store.epoch
        return ledger.getAndUpdate { it.inEpoch(epoch) }.epoch != epoch
    }

    /** Writes this node's due counts and the copied counts of failed nodes to the store. */
    fun flush() {
        val open = UsageWindow.containing(now(), times.windowLength).name
        flushAll(ledger.get().dueFlushes().filter { isOpenWindowFlushed() || it.window != open })
        repeat(deadSources.size) {
            val source = deadSources.poll() ?: return
            val left = copies.get().flushes(source).filterNot { flush -> (write(flush) != null).also { if (it) removeCopy(flush) } }
            if (left.isNotEmpty()) deadSources += source
        }
    }

    private fun flushAll(flushes: List<UsageFlush>) {
        flushes.forEach { flush ->
            val done = write(flush) ?: handOver(flush) ?: return
            ledger.updateAndGet { it.markFlushed(done, now()) }
        }
    }

    private fun removeCopy(flush: UsageFlush) {
        copies.updateAndGet { it.removeFlushed(flush) }
    }

    /** Writes [flush], which may be another node's, and returns it when done, or null if the store did not accept it. */
    fun write(flush: UsageFlush): UsageFlush? {
        var current = flush
        while (!current.isFinished) current = current.answered(store.execute(current.next()))
        return current.takeIf { it.isDone }
    }

    private fun executeNextReporterCall(): Boolean {
        val held = lease.held()
        reporter = reporter.inEpoch(store.epoch, now()).underLease(held, now())
        val call = held?.let { reporter.next(it, now(), lease.now()) } ?: return false
        val answer = execute(call, held.fencing)
        val before = reporter
        reporter = before.underLease(lease.held(), now()).answered(answer, held.fencing, now())
        reporterLog.record(before, answer, reporter)
        return true
    }

    private fun execute(
        call: ReporterCall,
        fencing: Long,
    ): ReporterAnswer =
        when (call) {
            is ReporterCall.ToStore -> ReporterAnswer.FromStore(store.execute(call.call))
            is ReporterCall.Report -> report(call.sealed, fencing)
        }

    private fun report(
        sealed: SealedWindow,
        fencing: Long,
    ): ReporterAnswer {
        val outcome = reportSender.send(sealed, fencing)
        reporterLog.recordReport(sealed, fencing, outcome)
        val accepted = outcome is SendOutcome.Answered && outcome.status in 200..299
        return if (accepted) ReporterAnswer.Reported else ReporterAnswer.NotReported
    }
}
