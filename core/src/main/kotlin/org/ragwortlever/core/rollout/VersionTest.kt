/*
 * Compares a new version with the old one, route by route, while both serve the same load. A sequential probability
 * ratio test in the form of a cumulative sum, so that a version that turns bad later is found as quickly as one that is
 * bad from its first answer on (E. S. Page, "Continuous Inspection Schemes", Biometrika 41, 1954).
 */
package org.ragwortlever.core.rollout

import kotlin.math.ln

/** What the evidence so far says of a new version. */
sealed interface Verdict {
    /** The version fails, or is several times slower, on a route. */
    data class Bad(
        val reason: String,
    ) : Verdict

    /** Each route that the old version serves has shown enough sound answers of the new one. */
    data object Good : Verdict

    /** Neither; [suspicion] goes from 0 to 1, where the version would be bad. */
    data class Open(
        val suspicion: Double,
    ) : Verdict
}

/** The tests of one roll-out. Not thread-safe. */
class VersionTest {
    private class Sums {
        var seen = RouteOutcomes()
        var failures = 0.0
        var slowness = 0.0
        var soundness = 0.0
    }

    private val byRoute = HashMap<String, Sums>()

    /** Adds the cumulative [evidence] of all VMs and returns the verdict. */
    fun judge(evidence: VersionEvidence): Verdict {
        evidence.new.forEach { (route, outcomes) -> update(route, outcomes, evidence.old[route] ?: RouteOutcomes()) }
        val worst = byRoute.entries.maxByOrNull { maxOf(it.value.failures, it.value.slowness) } ?: return Verdict.Open(0.0)
        val sums = worst.value
        val level = maxOf(sums.failures, sums.slowness)
        return when {
            level >= BAD_LEVEL -> Verdict.Bad(describe(worst.key, sums, evidence))
            evidence.old.filterValues { it.answers >= MIN_OLD_ANSWERS }.keys.all { isSound(it) } -> Verdict.Good
            else -> Verdict.Open(level / BAD_LEVEL)
        }
    }

    private fun isSound(route: String): Boolean = (byRoute[route]?.soundness ?: 0.0) >= GOOD_LEVEL

    private fun update(
        route: String,
        new: RouteOutcomes,
        old: RouteOutcomes,
    ) {
        val sums = byRoute.getOrPut(route) { Sums() }
        // A VM that has ended takes its counts with it; the sums go on from what is left.
        val added = if (new.answers < sums.seen.answers) RouteOutcomes() else new - sums.seen
        sums.seen = new
        if (old.answers < MIN_OLD_ANSWERS || added.answers <= 0) return
        val usualFailures = ((old.failures + 1.0) / (old.answers + 1.0)).coerceIn(MIN_FAILURE_RATE, MAX_FAILURE_RATE)
        val failureRatio = likelihoodRatio(added.answers, added.failures, usualFailures, usualFailures + ADDED_FAILURE_RATE)
        sums.failures = maxOf(0.0, sums.failures + failureRatio)
        sums.soundness = maxOf(0.0, sums.soundness - failureRatio)
        val limit = old.slowBucket() ?: return
        val slow = added.times.filterKeys { it > limit }.values.sum()
        sums.slowness = maxOf(0.0, sums.slowness + likelihoodRatio(added.times.values.sum(), slow, USUAL_SLOW_RATE, BAD_SLOW_RATE))
    }

    /** Log of the ratio between the probabilities of [hits] in [total] at the [bad] and at the [usual] rate. */
    private fun likelihoodRatio(
        total: Int,
        hits: Int,
        usual: Double,
        bad: Double,
    ): Double = hits * ln(bad / usual) + (total - hits) * ln((1 - bad) / (1 - usual))

    /** The smallest bucket that at most a tenth of the times are above, one doubling added; null without times. */
    private fun RouteOutcomes.slowBucket(): Int? {
        val total = times.values.sum()
        if (total < MIN_OLD_ANSWERS) return null
        val limit = times.keys.sorted().first { bucket -> times.filterKeys { it > bucket }.values.sum() <= total * OLD_SLOW_SHARE }
        return limit + SLOW_MARGIN_BUCKETS
    }

    private fun describe(
        route: String,
        sums: Sums,
        evidence: VersionEvidence,
    ): String {
        val kind = if (sums.failures >= sums.slowness) "failures" else "slowness"
        return "$kind on route $route: new ${evidence.new[route]?.summary()}, old ${evidence.old[route]?.summary()}"
    }

    private fun RouteOutcomes.summary() = "$failures of $answers failed"

    private companion object {
        // Log likelihood ratios: a sound version reaches the first once in several thousand answers at most.
        const val BAD_LEVEL = 9.0
        const val GOOD_LEVEL = 6.9

        // With fewer answers of the old version its usual rates are not known.
        const val MIN_OLD_ANSWERS = 20
        const val MIN_FAILURE_RATE = 0.02
        const val MAX_FAILURE_RATE = 0.6
        const val ADDED_FAILURE_RATE = 0.15
        const val OLD_SLOW_SHARE = 0.1
        const val USUAL_SLOW_RATE = 0.12
        const val BAD_SLOW_RATE = 0.35

        // New servers start with an empty cache, so a time has to be clearly longer to count as slow.
        const val SLOW_MARGIN_BUCKETS = 1
    }
}
