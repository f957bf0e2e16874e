package org.ragwortlever.core.retry

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

@OptIn(ExperimentalKotest::class)
class RetryBudgetPropertyTest {
    @Test
    fun `given any successes and retries, when any window is taken, then no budget is exceeded in it`() =
        runBlocking<Unit> {
            println("seed $SEED")
            checkAll(PropTestConfig(seed = SEED, iterations = 150), Arb.list(Arb.int(0..1_000_000), 1..150)) { steps -> check(steps) }
        }

    @Test
    fun `given a full budget, when the whole is overloaded, then there is no retry and nothing is taken`() {
        val budget = RetryBudget(RetryLimit(burst = 1.0, retriesPerSecond = 0.0))
        expectThat(budget.tryTake("a", overloaded = true, START)).isFalse()
        expectThat(budget.tryTake("a", overloaded = false, START)).isTrue()
    }

    @Test
    fun `given one account that has spent its budget, when another retries, then it may`() {
        val budget = RetryBudget(RetryLimit(burst = 2.0, retriesPerSecond = 0.0))
        repeat(10) { budget.tryTake("a", overloaded = false, START) }
        expectThat(budget.tryTake("a", overloaded = false, START)).isFalse()
        expectThat(budget.tryTake("b", overloaded = false, START)).isTrue()
    }

    private fun check(steps: List<Int>) {
        val budget = RetryBudget(ACCOUNT, OVERALL)
        var milliseconds = 0L
        val history =
            steps.map { step ->
                milliseconds += (step / 7) % 400
                val account = "account-${step % 3}"
                val now = START + milliseconds.milliseconds
                val success = (step / 3) % 4 == 0
                if (success) budget.recordSuccess(account, now)
                Entry(milliseconds / 1000.0, account, success, !success && budget.tryTake(account, overloaded = false, now))
            }
        expectWithin(history, OVERALL)
        history.groupBy { it.account }.values.forEach { expectWithin(it, ACCOUNT) }
    }

    private fun expectWithin(
        history: List<Entry>,
        limit: RetryLimit,
    ) = history.indices.forEach { from ->
        var retries = 0
        var successes = 0
        for (to in from until history.size) {
            if (history[to].retried) retries++
            if (history[to].success) successes++
            val seconds = history[to].seconds - history[from].seconds
            val allowed = limit.burst + limit.retriesPerSuccess * successes + limit.retriesPerSecond * seconds
            if (retries > allowed + ROUNDING) expectThat(retries.toDouble()).isLessThanOrEqualTo(allowed)
        }
    }

    private class Entry(
        val seconds: Double,
        val account: String,
        val success: Boolean,
        val retried: Boolean,
    )

    private companion object {
        const val SEED = 20_261_205L
        const val ROUNDING = 1e-9
        val START = Instant.fromEpochSeconds(1_700_000_000)
        val ACCOUNT = RetryLimit(retriesPerSuccess = 0.1, retriesPerSecond = 0.2, burst = 3.0)
        val OVERALL = RetryLimit(retriesPerSuccess = 0.1, retriesPerSecond = 0.3, burst = 5.0)
    }
}
