/*
 * The evidence of all VMs at the VM that holds the duties. Reports are cumulative, so a lost or repeated one does no harm;
 * a VM that restarts begins anew under another incarnation, and what it had counted before stays.
 */
package org.ragwortlever.core.rollout

import kotlinx.serialization.Serializable

/**
 * All that the VM [node] has counted for the roll-out with the order [order].
 *
 * @property incarnation start of the VM's process, in milliseconds since 1970.
 */
@Serializable
data class EvidenceReport(
    val node: String,
    val incarnation: Long,
    val service: String,
    val order: Long,
    val evidence: VersionEvidence,
)

/**
 * The holder's answer to a report: the record as it has decided it, which the store may not have accepted yet. A VM
 * applies it only where it lowers the share of the new version.
 */
@Serializable
data class EvidenceReply(
    val record: RolloutRecord?,
)

/** Not thread-safe. */
class EvidenceCollection {
    private data class Source(
        val node: String,
        val incarnation: Long,
    )

    private val byOrder = HashMap<Long, HashMap<Source, VersionEvidence>>()

    fun add(report: EvidenceReport) {
        byOrder.getOrPut(report.order) { HashMap() }[Source(report.node, report.incarnation)] = report.evidence
    }

    /** The evidence of all VMs; what runs is counted for the newest process of each of [nodes] only. */
    fun total(
        order: Long,
        nodes: Set<String>,
    ): VersionEvidence {
        val sources = byOrder[order].orEmpty()
        val newest = sources.keys.groupBy { it.node }.mapValues { (_, of) -> of.maxOf { it.incarnation } }
        return sources
            .map { (source, evidence) ->
                val runs = source.node in nodes && newest[source.node] == source.incarnation
                if (runs) evidence else evidence.copy(runningOnOld = 0)
            }.fold(VersionEvidence(), VersionEvidence::plus)
    }

    /** The VMs that have reported for the roll-out with the order [order]. */
    fun reporters(order: Long): Set<String> = byOrder[order].orEmpty().keys.mapTo(HashSet()) { it.node }

    /** Forgets all orders but [orders]. */
    fun retainOnly(orders: Set<Long>) {
        byOrder.keys.retainAll(orders)
    }
}
