/*
 * Selects the decider of a pool: the entry VM that chooses backend servers for the requests of all entry VMs. VMs with
 * the same view of the fleet select the same decider without a lease. While two VMs decide at once for a moment, load
 * is spread less evenly, but no guarantee is violated.
 */
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.membership.rendezvousOwner
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Not thread-safe. */
internal class DeciderSelector(
    private val self: String,
) {
    private class Suspension(
        val failures: Int,
        val until: Instant,
    )

    private var candidates = setOf(self)
    private val suspensions = HashMap<String, Suspension>()

    /**
     * Sets the entry VMs that can be asked, with their capacity in processor cores. Only the largest ones become
     * candidates.
     */
    fun replace(capacities: Map<String, Double>) {
        val largest = capacities.values.maxOrNull() ?: 0.0
        candidates = capacities.filterValues { it >= largest * MIN_CAPACITY_FRACTION }.keys.ifEmpty { setOf(self) }
        suspensions.keys.retainAll(candidates)
    }

    /** Returns the decider of [service], which may be this VM; null when all candidates are suspended. */
    fun deciderFor(
        service: String,
        now: Instant,
    ): String? = rendezvousOwner(service, candidates.filter { now >= (suspensions[it]?.until ?: now) })

    /** Whether this VM decides for [service] while all candidates answer, so that all VMs report to it. */
    fun isFirst(service: String): Boolean = rendezvousOwner(service, candidates) == self

    fun recordAnswer(node: String) {
        suspensions.remove(node)
    }

    /** Records that [node] did not answer in time. It is suspended for a while, and the next candidate decides. */
    fun recordFailure(
        node: String,
        now: Instant,
    ) {
        val failures = (suspensions[node]?.failures ?: 0) + 1
        val pause = minOf(FIRST_SUSPENSION * (1 shl minOf(failures - 1, MAX_DOUBLINGS)), MAX_SUSPENSION)
        suspensions[node] = Suspension(failures, now + pause)
    }

    private companion object {
        // A decision takes some hundred microseconds of processor time, which small VMs need for other work.
        const val MIN_CAPACITY_FRACTION = 0.66

        // One late answer must not split the decisions between VMs for long, and a dead VM must not delay a request
        // every second.
        val FIRST_SUSPENSION = 0.5.seconds
        val MAX_SUSPENSION: Duration = 4.seconds
        const val MAX_DOUBLINGS = 4
    }
}
