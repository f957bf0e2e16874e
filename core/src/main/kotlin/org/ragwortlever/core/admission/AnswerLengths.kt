/*
 * Learns how long answers are, per class and account. max_tokens is only an upper bound that callers set far too
 * high, so it is never used as an estimate.
 */
package org.ragwortlever.core.admission

/** Lengths of answers in tokens. An account without history takes its class's figures, a class without history the prior. */
internal class AnswerLengths {
    private val byClass = HashMap<String, DecayedStatistics>()
    private val byAccount = HashMap<String, HashMap<String, DecayedStatistics>>()

    /** The mean length of an answer to [account] in [requestClass]. */
    fun mean(
        requestClass: String,
        account: String,
    ): Double = findLength(requestClass, account)?.mean ?: PRIOR_TOKENS

    /** The length that [QUANTILE] of the answers to [account] in [requestClass] do not exceed. */
    fun quantile(
        requestClass: String,
        account: String,
    ): Double = findLength(requestClass, account)?.quantile ?: PRIOR_TOKENS

    fun learn(
        requestClass: String,
        account: String,
        tokens: Int,
    ) {
        byClass.getOrPut(requestClass) { DecayedStatistics() }.learn(tokens.toDouble())
        byAccount.getOrPut(requestClass) { HashMap() }.getOrPut(account) { DecayedStatistics() }.learn(tokens.toDouble())
    }

    private fun findLength(
        requestClass: String,
        account: String,
    ): DecayedStatistics? {
        val ofAccount = byAccount[requestClass]?.get(account)
        return if (ofAccount != null && ofAccount.count >= MINIMUM_ANSWERS) ofAccount else byClass[requestClass]
    }

    internal companion object {
        const val QUANTILE = 0.9

        // Used only until the first answer of a class has ended.
        const val PRIOR_TOKENS = 200.0

        // With fewer answers an account's own mean is less certain than that of its class.
        private const val MINIMUM_ANSWERS = 5
    }
}

/** Exponentially decayed mean and quantile of a series. The quantile moves by a step up or down with each value. */
internal class DecayedStatistics {
    var count = 0
        private set
    var mean = 0.0
        private set
    var quantile = 0.0
        private set

    fun learn(value: Double) {
        count++
        mean += (value - mean) * maxOf(1.0 / count, DECAY)
        if (count == 1) {
            quantile = value
            return
        }
        val step = mean * QUANTILE_STEP
        quantile += if (value > quantile) step * AnswerLengths.QUANTILE else -step * (1 - AnswerLengths.QUANTILE)
    }

    private companion object {
        const val DECAY = 0.05
        const val QUANTILE_STEP = 0.2
    }
}
