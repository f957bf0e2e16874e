/*
 * What the answers of one version of a service were like. All VMs count, and the counts of several VMs are added, so
 * times are kept as a histogram.
 */
package org.ragwortlever.core.rollout

import kotlinx.serialization.Serializable
import kotlin.math.floor
import kotlin.math.ln

/**
 * Outcomes of the requests of one route at the servers of one version.
 *
 * @property answers requests that got an answer of any kind, or none in time.
 * @property failures those that the server failed.
 * @property times those whose answer began in time, by the ratio of the time that it took to the time expected.
 */
@Serializable
data class RouteOutcomes(
    val answers: Int = 0,
    val failures: Int = 0,
    val times: Map<Int, Int> = emptyMap(),
) {
    operator fun plus(other: RouteOutcomes) =
        RouteOutcomes(
            answers + other.answers,
            failures + other.failures,
            (times.keys + other.times.keys).associateWith { (times[it] ?: 0) + (other.times[it] ?: 0) },
        )

    /** What has been added since [before]. */
    operator fun minus(before: RouteOutcomes) =
        RouteOutcomes(
            answers - before.answers,
            failures - before.failures,
            times.mapValues { (bucket, count) -> count - (before.times[bucket] ?: 0) }.filterValues { it > 0 },
        )

    fun withAnswer(ratio: Double?) =
        copy(answers = answers + 1, times = ratio?.let { bucketOf(it) }?.let { times + (it to (times[it] ?: 0) + 1) } ?: times)

    companion object {
        private const val BUCKETS_PER_DOUBLING = 2

        /** Bucket of a ratio; the next one holds ratios that are larger by half an octave. */
        fun bucketOf(ratio: Double): Int = floor(ln(ratio.coerceIn(MIN_RATIO, MAX_RATIO)) / ln(2.0) * BUCKETS_PER_DOUBLING).toInt()

        // Bound the number of buckets, whatever the servers do.
        private const val MIN_RATIO = 1e-3
        private const val MAX_RATIO = 1e6
    }
}

/**
 * Outcomes at the new version ([new]) and at the other ones ([old]), by route.
 *
 * @property runningOnOld requests that run on servers of the old version now.
 */
@Serializable
data class VersionEvidence(
    val new: Map<String, RouteOutcomes> = emptyMap(),
    val old: Map<String, RouteOutcomes> = emptyMap(),
    val runningOnOld: Int = 0,
) {
    operator fun plus(other: VersionEvidence) =
        VersionEvidence(new.plusAll(other.new), old.plusAll(other.old), runningOnOld + other.runningOnOld)

    val newAnswers: Int get() = new.values.sumOf { it.answers }
}

private fun Map<String, RouteOutcomes>.plusAll(other: Map<String, RouteOutcomes>) =
    (keys + other.keys).associateWith { (this[it] ?: RouteOutcomes()) + (other[it] ?: RouteOutcomes()) }
