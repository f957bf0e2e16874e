// Scorer: the time to compute the part of the prompt that the server's prefix cache is not expected to hold.
package org.ragwortlever.core.routing

internal object PrefillTime {
    fun seconds(
        promptTokens: Int,
        cachedTokens: Int,
    ): Double = (promptTokens - cachedTokens) * SECONDS_PER_TOKEN

    /** 8,000 tokens a second, a usual prefill speed of one accelerator; observed speed scales it per server. */
    const val SECONDS_PER_TOKEN: Double = 1.0 / 8_000
}
