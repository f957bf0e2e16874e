package org.ragwortlever.daemon.fleet

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import org.ragwortlever.core.fleet.CrashRecord
import org.ragwortlever.core.fleet.FleetKeys
import org.ragwortlever.core.fleet.QuarantineRecord
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.core.store.Transaction
import org.ragwortlever.core.store.TransactionResult
import org.ragwortlever.core.store.Write
import org.ragwortlever.daemon.platform.KeyValueStore
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Writes server crashes, with the digests of the requests that were running, and quarantined prompt parts to the store for
 * the other entry VMs.
 *
 * Both are rare, so one thread writes them one after another, and waits while the store does not answer. A report that
 * finds the queue full, or that can't be written in [MAX_ATTEMPTS] attempts, is dropped and logged.
 */
internal class CrashReporter(
    private val node: String,
    private val store: KeyValueStore,
) : AutoCloseable {
    private var lastNumber = 0L
    private val executor =
        ThreadPoolExecutor(
            1,
            1,
            IDLE_SECONDS,
            TimeUnit.SECONDS,
            ArrayBlockingQueue(MAX_QUEUED_REPORTS),
            { task -> Thread(task, "crash-reports").apply { isDaemon = true } },
            { _, _ -> logger.warn { eventLine("crash-report-dropped", "reason" to "report queue is full") } },
        ).apply { allowCoreThreadTimeOut(true) }

    /** Queues [crash] for writing. Does not block. */
    fun report(crash: CrashRecord) = executor.execute { write(FleetKeys.crash(node, ++lastNumber), crash.encode(), CRASH_RETENTION) }

    /** Queues [quarantine] for writing. Does not block. */
    fun report(quarantine: QuarantineRecord) =
        executor.execute {
            write(FleetKeys.quarantine(quarantine.service, quarantine.part), quarantine.encode(), QUARANTINE_RETENTION)
        }

    override fun close() {
        executor.shutdownNow()
    }

    private fun write(
        key: String,
        value: String,
        retention: Duration,
    ) {
        repeat(MAX_ATTEMPTS) { attempt ->
            if (isWritten(key, value, retention)) return
            try {
                Thread.sleep(minOf(FIRST_PAUSE * (attempt + 1), MAX_PAUSE).inWholeMilliseconds)
            } catch (_: InterruptedException) {
                return logDropped(key, "the VM shuts down")
            }
        }
        logDropped(key, "the store does not answer")
    }

    private fun isWritten(
        key: String,
        value: String,
        retention: Duration,
    ): Boolean {
        val lease = store.grantLease(retention).getOrElse { return false }
        return store.commit(Transaction(emptyList(), listOf(Write.Put(key, value, lease)))).get() is TransactionResult.Committed
    }

    private fun logDropped(
        key: String,
        reason: String,
    ) = logger.warn { eventLine("crash-report-dropped", "key" to key, "reason" to reason) }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val MAX_QUEUED_REPORTS = 100
        const val MAX_ATTEMPTS = 30
        val FIRST_PAUSE: Duration = 300.milliseconds
        val MAX_PAUSE: Duration = 3.seconds
        const val IDLE_SECONDS = 5L

        val CRASH_RETENTION: Duration = 5.minutes

        // As long as a part stays quarantined: entry VMs that start within it read the record.
        val QUARANTINE_RETENTION: Duration = 10.minutes
    }
}
