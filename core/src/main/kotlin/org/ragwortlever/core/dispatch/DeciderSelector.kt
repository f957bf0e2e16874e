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
    private class Absence(
        val failures: Int,
        val until: Instant,
    )

    private var candidates = setOf(self)
    private val absences = HashMap<String, Absence>()

    /** The entry VMs that can decide, with what each can bear. */
    fun replace(capacities: Map<String, Double>) {
        val largest = capacities.values.maxOrNull() ?: 0.0
        candidates = capacities.filterValues { it >= largest * LARGE_PART }.keys.ifEmpty { setOf(self) }
        absences.keys.retainAll(candidates)
    }

    /** The VM that decides for [service], which may be this one; null when none of those that can answers. */
    fun deciderFor(
        service: String,
        now: Instant,
    ): String? = rendezvousOwner(service, candidates.filter { now >= (absences[it]?.until ?: now) })

    fun answered(node: String) {
        absences.remove(node)
    }

    /** [node] did not answer in time; the next one decides for a while. */
    fun failed(
        node: String,
        now: Instant,
    ) {
        val failures = (absences[node]?.failures ?: 0) + 1
        val pause = minOf(FIRST_ABSENCE * (1 shl minOf(failures - 1, MOST_DOUBLINGS)), LONGEST_ABSENCE)
        absences[node] = Absence(failures, now + pause)
    }

    private companion object {
        // A decision costs some hundred microseconds; small VMs have other work for their processor.
        const val LARGE_PART = 0.66

        // One late answer must not divide the pool for long, and a dead VM must not delay a request a second.
        val FIRST_ABSENCE = 0.5.seconds
        val LONGEST_ABSENCE: Duration = 4.seconds
        const val MOST_DOUBLINGS = 4
    }
}
