/*
 * Estimates the length of answers from past answers, per class and account. max_tokens is never used as an estimate:
 * it is only an upper bound, and callers set it far too high.
 */
package org.ragwortlever.core.admission

/**
 * Estimated lengths of answers in tokens. An account with fewer than five answers in a class gets the estimate of the
 * class, and a class without answers gets [PRIOR_TOKENS].
 */
internal class AnswerLengths {
    private val byClass = HashMap<String, DecayedStatistics>()
    private val byAccount = HashMap<String, HashMap<String, DecayedStatistics>>()

    /** Mean length in tokens of an answer to [account] in [requestClass]. */
    fun mean(
        requestClass: String,
        account: String,
    ): Double = findLength(requestClass, account)?.mean ?: PRIOR_TOKENS

    /** Length in tokens that the fraction [QUANTILE] of the answers to [account] in [requestClass] doesn't exceed. */
    fun quantile(
        requestClass: String,
        account: String,
    ): Double = findLength(requestClass, account)?.quantile ?: PRIOR_TOKENS

    /** Adds an answer of [tokens] to the estimates of [account] and [requestClass]. */
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

        // Used only until the first answer of a class has completed.
        const val PRIOR_TOKENS = 200.0

        // With fewer answers the mean of the account is less reliable than the mean of its class.
        private const val MINIMUM_ANSWERS = 5
    }
}

/** Exponentially decayed mean and quantile of a series. Each value moves the quantile one step up or down. */
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
