// Applies the decisions on roll-outs to the traffic of this VM.
package org.ragwortlever.daemon.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import org.ragwortlever.core.dispatch.DispatchEvent
import org.ragwortlever.core.fleet.FleetView
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.core.rollout.RolloutOrder
import org.ragwortlever.core.rollout.RolloutRecord
import org.ragwortlever.core.rollout.RolloutStage
import org.ragwortlever.core.rollout.VersionShare

/**
 * Thread-safe.
 *
 * @param apply passes the roll-outs to the dispatcher.
 */
internal class RolloutTraffic(
    private val apply: (DispatchEvent.RolloutsChanged) -> Unit,
) {
    /** Roll-outs that the operators have ordered, by service. */
    @Volatile
    var orders: Map<String, RolloutOrder> = emptyMap()
        private set

    /** Decisions on roll-outs as the store has them, by service. */
    @Volatile
    var records: Map<String, RolloutRecord> = emptyMap()
        private set

    /** Decisions to roll back that the store may not have yet, by service. */
    private val rolledBack = HashMap<String, RolloutRecord>()
    private var shares = emptyMap<String, VersionShare>()

    /** Roll-outs whose versions are compared. */
    val open: List<RolloutRecord> get() = records.values.filter { it.isOpen }

    @Synchronized
    fun replace(view: FleetView) {
        orders = view.rolloutOrders
        records = view.rollouts
        rolledBack.values.removeAll { records[it.service]?.isSameRollout(it) != true }
        update()
    }

    /** Applies a decision that has come directly; only one that takes requests from the new version. */
    @Synchronized
    fun applyDecision(record: RolloutRecord) {
        if (record.stage != RolloutStage.ROLLED_BACK || records[record.service]?.isSameRollout(record) != true) return
        if (rolledBack.put(record.service, record) == null) update()
    }

    private fun update() {
        val next = VersionShare.of(orders, records + rolledBack)
        apply(DispatchEvent.RolloutsChanged(next, open))
        next.filter { (service, share) -> shares[service] != share }.forEach { (service, share) ->
            logger.info { eventLine("rollout-share", "service" to service, "version" to share.version, "share" to share.share) }
        }
        shares = next
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
