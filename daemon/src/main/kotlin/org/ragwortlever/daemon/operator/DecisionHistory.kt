// Remembers the newest routing decisions of this entry VM, so that an operator can ask why a request went where.
package org.ragwortlever.daemon.operator

import kotlinx.serialization.Serializable
import org.ragwortlever.core.traffic.RoutingDecision
import kotlin.time.Instant

/** A routing decision with its time, as `explain` shows it. */
@Serializable
internal data class DecisionRecord(
    val time: Instant,
    val request: String,
    val server: String?,
    val reason: String,
    val scores: Map<String, Double>,
)

/** Decisions of the newest [CAPACITY] requests. Safe for use by several threads. */
internal class DecisionHistory {
    private val records =
        object : LinkedHashMap<String, List<DecisionRecord>>() {
            override fun removeEldestEntry(eldest: Map.Entry<String, List<DecisionRecord>>): Boolean = size > CAPACITY
        }

    fun add(
        decision: RoutingDecision,
        now: Instant,
    ) = synchronized(records) {
        val request = decision.request.value
        val record = DecisionRecord(now, request, decision.chosen, decision.reason, decision.scores.cheapest())
        records[request] = records[request].orEmpty() + record
    }

    /** The decisions for [request], oldest first; empty when they are not remembered. */
    fun of(request: String): List<DecisionRecord> = synchronized(records) { records[request].orEmpty() }

    private companion object {
        // With the scores kept below, about 4 MB at most.
        const val CAPACITY = 2_000
    }
}

/** The best candidates only, since a decision can have hundreds. */
private fun Map<String, Double>.cheapest(): Map<String, Double> =
    entries.sortedBy { it.value }.take(REMEMBERED_CANDIDATES).associate { it.key to it.value }

private const val REMEMBERED_CANDIDATES = 16
