// Scorer: how slow a server is in relation to the median of the candidates.
package org.ragwortlever.core.routing

internal object ObservedSpeed {
    /** Factor on the server's times; 1 for the median and for a server that has not been observed enough. */
    fun factor(
        observation: ServerObservation,
        medianGap: Double,
    ): Double {
        if (observation.gapSamples < MINIMUM_SAMPLES || medianGap <= 0) return 1.0
        val ratio = observation.tokenGap / medianGap
        return if (ratio > EQUAL_FROM && ratio < EQUAL_TO) 1.0 else maxOf(FASTEST, ratio)
    }

    /** Below this many samples one unlucky chunk would decide. */
    const val MINIMUM_SAMPLES: Int = 3
    private const val FASTEST = 0.5

    /** Gaps differ this much by the fill of the batch alone. */
    private const val EQUAL_FROM = 0.8
    private const val EQUAL_TO = 1.25
}
