// The scores of a decision as a map over two arrays: building a hash map would cost more than the decision itself.
package org.ragwortlever.core.routing

internal class CandidateScores(
    private val ids: Array<String>,
    private val scores: DoubleArray,
    private val count: Int,
) : AbstractMap<String, Double>() {
    override val entries: Set<Map.Entry<String, Double>> =
        object : AbstractSet<Map.Entry<String, Double>>() {
            override val size: Int get() = count

            override fun iterator(): Iterator<Map.Entry<String, Double>> =
                (0 until count)
                    .asSequence()
                    .map { java.util.AbstractMap.SimpleImmutableEntry(ids[it], scores[it]) }
                    .iterator()
        }
}
