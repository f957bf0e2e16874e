/*
 * Which entry VM decides for a pool of backend servers. All VMs that know the same fleet find the same one, without a
 * lease: two that decide at once for a moment spread work less well and break no promise.
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

    /** The entry VMs that can decide, with what each can bear. */
    fun replace(capacities: Map<String, Double>) {
        val largest = capacities.values.maxOrNull() ?: 0.0
        candidates = capacities.filterValues { it >= largest * MIN_CAPACITY_FRACTION }.keys.ifEmpty { setOf(self) }
        suspensions.keys.retainAll(candidates)
    }

    /** The VM that decides for [service], which may be this one; null when none of those that can answers. */
    fun deciderFor(
        service: String,
        now: Instant,
    ): String? = rendezvousOwner(service, candidates.filter { now >= (suspensions[it]?.until ?: now) })

    fun recordAnswer(node: String) {
        suspensions.remove(node)
    }

    /** [node] did not answer in time; the next one decides for a while. */
    fun recordFailure(
        node: String,
        now: Instant,
    ) {
        val failures = (suspensions[node]?.failures ?: 0) + 1
        val pause = minOf(FIRST_SUSPENSION * (1 shl minOf(failures - 1, MAX_DOUBLINGS)), MAX_SUSPENSION)
        suspensions[node] = Suspension(failures, now + pause)
    }

    private companion object {
        // A decision costs some hundred microseconds; small VMs have other work for their processor.
        const val MIN_CAPACITY_FRACTION = 0.66

        // One late answer must not divide the pool for long, and a dead VM must not delay a request a second.
        val FIRST_SUSPENSION = 0.5.seconds
        val MAX_SUSPENSION: Duration = 4.seconds
        const val MAX_DOUBLINGS = 4
    }
}
