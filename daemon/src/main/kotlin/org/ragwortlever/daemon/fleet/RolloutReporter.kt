// Reports what the versions of services under roll-out answer to the VM that decides on the roll-outs.
package org.ragwortlever.daemon.fleet

import com.github.michaelbull.result.get
import org.ragwortlever.core.fleet.NodeRecord
import org.ragwortlever.core.rollout.EvidenceReply
import org.ragwortlever.core.rollout.EvidenceReport
import org.ragwortlever.core.rollout.RolloutRecord
import org.ragwortlever.core.rollout.VersionEvidence
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.milliseconds

/**
 * Reports are cumulative, so one that is lost is made up for by the next. The answer carries the decision before the store
 * does, so that a bad version gets nothing more also while the store is slow.
 *
 * @param self record of this VM.
 * @param node returns the record of an entry VM; null if it is not known.
 * @param evidence what this VM has counted for a service; null if it is not under roll-out.
 * @param receive takes a report of this VM if it decides itself.
 * @param onDecided called with a decision that the answer carries, on a thread of its own.
 */
internal class RolloutReporter(
    private val self: NodeRecord,
    private val peers: PeerClient,
    private val node: (String) -> NodeRecord?,
    private val evidence: (service: String) -> VersionEvidence?,
    private val receive: (EvidenceReport) -> EvidenceReply?,
    private val onDecided: (RolloutRecord) -> Unit,
) : AutoCloseable {
    private val executor = Executors.newSingleThreadExecutor { task -> Thread(task, "rollout-reports").apply { isDaemon = true } }
    private val isBusy = AtomicBoolean()

    /** Reports what has been counted for the roll-outs [open]. Called on the control thread; does not block. */
    fun report(open: List<RolloutRecord>) =
        open.groupBy { it.holder }.forEach { (holder, rollouts) ->
            val reports = rollouts.mapNotNull { createReport(it) }
            if (holder == self.name) reports.forEach { receive(it) } else send(holder, reports)
        }

    private fun createReport(rollout: RolloutRecord): EvidenceReport? =
        evidence(rollout.service)?.let { EvidenceReport(self.name, self.incarnation, rollout.service, rollout.order, it) }

    /** Sends [reports] to the entry VM [holder], unless the last ones are still on their way. */
    private fun send(
        holder: String,
        reports: List<EvidenceReport>,
    ) {
        val target = node(holder)?.takeIf { it.peers.isNotEmpty() } ?: return
        if (!isBusy.compareAndSet(false, true)) return
        executor.execute {
            try {
                reports.forEach { report -> peers.call(target, ROUTE, report, TIMEOUT).get()?.record?.let(onDecided) }
            } finally {
                isBusy.set(false)
            }
        }
    }

    override fun close() {
        executor.shutdownNow()
    }

    companion object {
        val ROUTE = PeerRoute("/rollout", EvidenceReport.serializer(), EvidenceReply.serializer())
        private val TIMEOUT = 500.milliseconds
    }
}
