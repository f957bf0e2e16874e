package org.ragwortlever.daemon.fleet

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import org.ragwortlever.core.fleet.CrashRecord
import org.ragwortlever.core.fleet.FleetKeys
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.core.store.Transaction
import org.ragwortlever.core.store.TransactionResult
import org.ragwortlever.core.store.Write
import org.ragwortlever.daemon.platform.KeyValueStore
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.minutes

/**
 * Writes server crashes, with the digests of the requests that were running, to the store for the other entry VMs.
 *
 * Crashes are rare, so one thread writes them one after another. A report that finds the queue full, or that can't be
 * written in [MAX_ATTEMPTS] attempts, is dropped and logged.
 */
internal class CrashReporter(
    private val node: String,
    private val store: KeyValueStore,
) : AutoCloseable {
    private var lastReportNumber = 0L
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
    fun report(crash: CrashRecord) = executor.execute { write(crash) }

    override fun close() {
        executor.shutdownNow()
    }

    private fun write(crash: CrashRecord) {
        repeat(MAX_ATTEMPTS) {
            val lease = store.grantLease(RETENTION).getOrElse { return@repeat }
            val put = Write.Put(FleetKeys.crash(node, ++lastReportNumber), crash.encode(), lease)
            if (store.commit(Transaction(emptyList(), listOf(put))).get() is TransactionResult.Committed) return
        }
        logger.warn { eventLine("crash-report-dropped", "server" to crash.server, "requests" to crash.digests.size) }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val MAX_QUEUED_REPORTS = 100
        const val MAX_ATTEMPTS = 3
        const val IDLE_SECONDS = 5L

        // Lifetime of a crash record: entry VMs that start within it still read the crash.
        val RETENTION = 5.minutes
    }
}
