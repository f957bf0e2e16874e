/*
 * Finds the parts of prompts that crash the backend servers of one service. Requests that share such a part need not have
 * anything else in common, so crashes are counted by part. The last part of a prompt counts too: it is the same when the
 * same request is sent again.
 *
 * A run that completes under a part clears the part of all crashes before. A part is quarantined when crashes at several
 * times have no other explanation: parts that sound requests share have completed runs, servers that fail together have
 * no part in common, and a part that ran beside the culprit is in fewer crashes.
 */
package org.ragwortlever.core.quarantine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Not thread-safe. */
class CrashingParts {
    private val endsByProcess = BoundedMap<String, ProcessEnd>(MAX_PROCESSES)
    private val completedAt = BoundedMap<String, Instant>(MAX_COMPLETED_PARTS)
    private val quarantinedAt = BoundedMap<String, Instant>(MAX_QUARANTINED_PARTS)

    /** Whether evidence was recorded that [findNew] has not considered yet. */
    private var isChanged = false
    private var evaluatedAt = Instant.DISTANT_PAST

    /** Records that an attempt with [parts] broke off at the time [at] on the server process [process]. */
    fun recordBreak(
        process: String,
        parts: Set<String>,
        at: Instant,
    ) {
        val end = endsByProcess.getOrPut(process) { ProcessEnd() }
        if (end.addBreak(parts, at)) isChanged = true
    }

    /** Records that the server process [process] no longer runs. */
    fun recordProcessGone(
        process: String,
        now: Instant,
    ) {
        val end = endsByProcess.getOrPut(process) { ProcessEnd() }
        if (end.goneAt != null) return
        end.goneAt = now
        isChanged = true
    }

    /** Whether [process] is known to have crashed while it ran requests. */
    fun hasCrashed(process: String): Boolean = endsByProcess[process]?.isCrash == true

    /** Records a complete answer to a request with [parts], in order; the last one is not expected to come again. */
    fun recordCompletion(
        parts: List<String>,
        now: Instant,
    ) {
        endsByProcess.values.forEach { it.clear(parts, now) }
        parts.dropLast(1).forEach { completedAt[it] = now }
    }

    /** Records that another entry VM has seen a request with [part] complete before [at]; older than any own knowledge. */
    fun recordEarlierCompletion(
        part: String,
        at: Instant,
    ) {
        if (part !in completedAt) completedAt[part] = at
    }

    /** Whether a request with [part] is known to have completed, at any time. */
    fun hasCompleted(part: String): Boolean = part in completedAt

    /** Quarantines [part] from [since] on, as another entry VM has found. Repetition doesn't prolong the quarantine. */
    fun quarantine(
        part: String,
        since: Instant,
        now: Instant,
    ) {
        if (now - since < QUARANTINE_TIME && !isQuarantined(part, now)) quarantinedAt[part] = since
    }

    fun isQuarantined(
        part: String,
        now: Instant,
    ): Boolean = quarantinedAt[part]?.let { now - it < QUARANTINE_TIME } ?: false

    /** The quarantined parts, with the times since which they are. */
    fun quarantined(now: Instant): Map<String, Instant> = quarantinedAt.filterValues { now - it < QUARANTINE_TIME }

    /**
     * Quarantines the parts that the crashes prove to crash servers, and returns those that were not known, with the evidence.
     * A crash is considered after [SETTLE_TIME], when all entry VMs have reported what ran on the server: until then a part
     * that ran beside the culprit may seem to be in more crashes.
     */
    fun findNew(now: Instant): List<CrashingPart> {
        if (!isChanged || now - evaluatedAt < EVALUATION_INTERVAL) return emptyList()
        evaluatedAt = now
        isChanged = endsByProcess.values.any { it.isCrash && now - it.brokenAt < SETTLE_TIME }
        val found = ArrayList<CrashingPart>()
        while (true) {
            val next = findProven(now).ifEmpty { return found }
            next.forEach { quarantinedAt[it.part] = now }
            found += next
        }
    }

    /** Looks for parts that explain the crashes which no quarantined part explains. */
    private fun findProven(now: Instant): List<CrashingPart> {
        val known = quarantined(now).keys
        val unexplained = endsByProcess.entries
            .filter { (_, end) -> end.isCrash && now - end.brokenAt in SETTLE_TIME..EVIDENCE_TIME && !end.hasAnyOf(known) }
            .sortedBy { (_, end) -> end.brokenAt }
        if (unexplained.size < MIN_SCORE) return emptyList()
        val ends = unexplained.map { it.value }
        val suspects = ends.flatMapTo(LinkedHashSet()) { it.parts }.map { suspectOf(it, ends) }.filter { it.score >= MIN_SCORE }
        val proven = suspects.filter { suspect -> suspects.none { it.explainsAllOf(suspect) && it.isBetterThan(suspect) } }
        return proven.map { suspect ->
            CrashingPart(suspect.part, unexplained.filter { it.value in suspect.crashes }.mapTo(LinkedHashSet()) { it.key })
        }
    }

    private fun suspectOf(
        part: String,
        ends: List<ProcessEnd>,
    ): Suspect {
        val lastCompletion = completedAt[part]
        val crashes = ends.filterTo(HashSet()) { part in it.parts && (lastCompletion == null || it.brokenAt > lastCompletion) }
        return Suspect(part, crashes, scoreOf(crashes, ends), lastCompletion != null)
    }

    /**
     * Counts [crashes] among all [ends], which are in the order of time. Servers that fail together count as two at most,
     * and only if [crashes] are at least half of them: a cause from outside ends servers whatever runs on them.
     */
    private fun scoreOf(
        crashes: Set<ProcessEnd>,
        ends: List<ProcessEnd>,
    ): Int {
        var score = 0
        var next = 0
        while (next < ends.size) {
            val first = next
            while (next < ends.size && ends[next].brokenAt - ends[first].brokenAt <= COINCIDENCE_WINDOW) next++
            val together = ends.subList(first, next)
            val matching = together.count { it in crashes }
            if (matching * 2 >= together.size) score += minOf(matching, MAX_SCORE_OF_COINCIDENCE)
        }
        return score
    }

    private companion object {
        const val MIN_SCORE = 3
        const val MAX_SCORE_OF_COINCIDENCE = 2

        // Servers that one cause ends are gone within milliseconds of each other.
        val COINCIDENCE_WINDOW: Duration = 300.milliseconds
        val EVIDENCE_TIME: Duration = 10.minutes

        // Several times the delay of a report.
        val SETTLE_TIME: Duration = 250.milliseconds

        // Bounds the work when many servers end together.
        val EVALUATION_INTERVAL: Duration = 50.milliseconds
        val QUARANTINE_TIME: Duration = 10.minutes

        const val MAX_PROCESSES = 512
        const val MAX_COMPLETED_PARTS = 4000
        const val MAX_QUARANTINED_PARTS = 32
    }
}

/** A part of prompts that was found to crash servers: each of the server [processes] crashed while it ran a request with it. */
data class CrashingPart(
    val part: String,
    val processes: Set<String>,
)

/** The attempts that broke off on one server process, and whether the process is gone. */
private class ProcessEnd {
    private val attempts = LinkedHashSet<Set<String>>()
    private val cleared = HashSet<String>()

    /** Parts of all attempts under which no request has completed since. */
    val parts = LinkedHashSet<String>()

    /** Time of the first break. */
    var brokenAt: Instant = Instant.DISTANT_FUTURE
        private set
    var goneAt: Instant? = null

    /** The process ended together with its attempts; a process that lives on broke off single answers. */
    val isCrash: Boolean get() = attempts.isNotEmpty() && goneAt?.let { (it - brokenAt).absoluteValue <= CONFIRMATION_WINDOW } ?: false

    fun addBreak(
        broken: Set<String>,
        at: Instant,
    ): Boolean {
        brokenAt = minOf(brokenAt, at)
        if (attempts.size >= MAX_ATTEMPTS || !attempts.add(broken)) return false
        parts += broken - cleared
        return true
    }

    /** Removes [completed], the parts of a request that has completed at [now], from the possible causes. */
    fun clear(
        completed: List<String>,
        now: Instant,
    ) {
        if (now < brokenAt) return
        completed.filterTo(cleared) { parts.remove(it) }
    }

    fun hasAnyOf(known: Set<String>): Boolean = known.any { it in parts }

    /** Whether each attempt has both parts or neither. */
    fun isTogether(
        one: String,
        other: String,
    ): Boolean = attempts.all { (one in it) == (other in it) }

    private companion object {
        // An entry in the store expires within four seconds.
        val CONFIRMATION_WINDOW: Duration = 5.seconds
        const val MAX_ATTEMPTS = 128
    }
}

/** @property crashes the crashes under [part] since its last completed run. */
private class Suspect(
    val part: String,
    val crashes: Set<ProcessEnd>,
    val score: Int,
    val hasCompleted: Boolean,
) {
    fun explainsAllOf(other: Suspect): Boolean = other !== this && crashes.containsAll(other.crashes)

    /**
     * Whether the evidence favours this part over [other] or, where neither is favoured, contradicts it because different
     * requests bring the two. Parts that always come together are quarantined together.
     */
    fun isBetterThan(other: Suspect): Boolean =
        when {
            score != other.score -> score > other.score
            hasCompleted != other.hasCompleted -> !hasCompleted
            else -> !crashes.all { it.isTogether(part, other.part) }
        }
}

/** Keeps the [capacity] entries that were written last. */
private class BoundedMap<K, V>(
    private val capacity: Int,
) : LinkedHashMap<K, V>() {
    override fun put(
        key: K,
        value: V,
    ): V? {
        val previous = remove(key)
        super.put(key, value)
        return previous
    }

    override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>?): Boolean = size > capacity
}
