package org.ragwortlever.daemon.fleet

import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.Serializable
import org.ragwortlever.core.dispatch.DispatchEffect
import org.ragwortlever.core.dispatch.PoolQuestion
import org.ragwortlever.core.dispatch.PoolReply
import org.ragwortlever.core.dispatch.PoolReport
import org.ragwortlever.core.fleet.NodeRecord
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.daemon.gateway.DispatchPeers
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Response to a [PoolReport]; confirms that it was received. */
@Serializable
internal data object ReportAcknowledgement

/**
 * Sends questions and reports to the entry VMs that decide for pools of backend servers.
 *
 * Reports are sent one after another on a separate thread. When the queue is full, the oldest report is dropped, because
 * each report contains the complete state.
 *
 * @param nodes the entry VMs by name.
 * @param onCrash receives the server crashes that this VM reports.
 * @param onQuarantine receives the prompt parts that this VM, as the decider, has found to crash servers.
 */
internal class PoolDeciderClient(
    private val peers: PeerClient,
    private val nodes: () -> Map<String, NodeRecord>,
    private val onCrash: (DispatchEffect.ReportCrash) -> Unit,
    private val onQuarantine: (DispatchEffect.ReportQuarantine) -> Unit,
) : DispatchPeers,
    AutoCloseable {
    private val reportExecutor =
        ThreadPoolExecutor(
            1,
            1,
            IDLE_SECONDS,
            TimeUnit.SECONDS,
            ArrayBlockingQueue(MAX_QUEUED_REPORTS),
            { task -> Thread(task, "pool-reports").apply { isDaemon = true } },
            ThreadPoolExecutor.DiscardOldestPolicy(),
        ).apply { allowCoreThreadTimeOut(true) }

    override fun ask(
        decider: String,
        question: PoolQuestion,
        timeout: Duration,
    ): PoolReply? {
        val node = nodes()[decider] ?: return null
        return peers.call(node, QUESTION_ROUTE, question, timeout).getOrElse { reason ->
            logger.info { eventLine("decider-silent", "decider" to decider, "question" to question.number, "reason" to reason) }
            null
        }
    }

    override fun report(
        decider: String,
        report: PoolReport,
    ) {
        val node = nodes()[decider] ?: return
        reportExecutor.execute {
            peers.call(node, REPORT_ROUTE, report, REPORT_TIMEOUT).getOrElse { reason ->
                logger.debug { eventLine("report-lost", "decider" to decider, "reason" to reason) }
            }
        }
    }

    override fun reportCrash(crash: DispatchEffect.ReportCrash) = onCrash(crash)

    override fun reportQuarantine(quarantine: DispatchEffect.ReportQuarantine) = onQuarantine(quarantine)

    override fun close() {
        reportExecutor.shutdownNow()
    }

    companion object {
        private val logger = KotlinLogging.logger {}
        val QUESTION_ROUTE = PeerRoute("/pool/question", PoolQuestion.serializer(), PoolReply.serializer())
        val REPORT_ROUTE = PeerRoute("/pool/report", PoolReport.serializer(), ReportAcknowledgement.serializer())
        private val REPORT_TIMEOUT = 100.milliseconds
        private const val MAX_QUEUED_REPORTS = 4
        private const val IDLE_SECONDS = 5L
    }
}
