/*
 * Computes how much waiting work a fair queue serves within a number of rounds without iterating over its accounts.
 * Accounts are grouped in logarithmic buckets by the number of rounds that their backlog takes.
 */
package org.ragwortlever.core.admission

import kotlin.math.ln

/** Backlogs of the accounts of one fair queue in tokens, in buckets by backlog divided by weight. */
internal class BacklogIndex {
    private val backlogs = DoubleArray(BUCKETS)
    private val weights = DoubleArray(BUCKETS)
    private val accounts = IntArray(BUCKETS)

    /** Adds an account with [backlog] tokens; an empty backlog is ignored. */
    fun add(
        backlog: Double,
        weight: Double,
    ) {
        if (backlog <= 0) return
        val bucket = bucketOf(backlog / weight)
        backlogs[bucket] += backlog
        weights[bucket] += weight
        accounts[bucket]++
    }

    /** Removes an account that was added with the same [backlog] and [weight]. */
    fun remove(
        backlog: Double,
        weight: Double,
    ) {
        if (backlog <= 0) return
        val bucket = bucketOf(backlog / weight)
        accounts[bucket]--
        // An empty bucket is reset to zero so that rounding errors don't accumulate.
        backlogs[bucket] = if (accounts[bucket] == 0) 0.0 else backlogs[bucket] - backlog
        weights[bucket] = if (accounts[bucket] == 0) 0.0 else weights[bucket] - weight
    }

    /** Tokens served once each account has received [rounds] tokens per unit of weight, or its whole backlog if that is less. */
    fun servedWithin(rounds: Double): Double {
        val own = bucketOf(rounds)
        var served = minOf(backlogs[own], rounds * weights[own])
        for (bucket in 0 until own) served += backlogs[bucket]
        for (bucket in own + 1 until BUCKETS) served += rounds * weights[bucket]
        return served
    }

    private fun bucketOf(rounds: Double): Int = (ln(maxOf(rounds, 1.0)) * BUCKETS_PER_E).toInt().coerceAtMost(BUCKETS - 1)

    private companion object {
        // 64 buckets, each 1.28 times as wide as the one before, cover 1 to 7 million tokens per unit of weight.
        const val BUCKETS = 64
        const val BUCKETS_PER_E = 4.0
    }
}
