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
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

@OptIn(ExperimentalKotest::class)
class CrashSuspectsPropertyTest {
    @Test
    fun `given requests that crash servers, when they come again under any id, then none runs after two crashes`() =
        property { steps ->
            val suspects = CrashSuspects()
            val crashes = HashMap<String, Int>()
            var now = START
            steps.forEach { step ->
                // Crashes lie apart in time, so that none is a coincidence.
                now += 2_001.milliseconds + (step % 3_000).milliseconds
                val digest = "digest-${step % 4}"
                if (suspects.isRefused(digest, now)) return@forEach
                crashes.merge(digest, 1, Int::plus)
                suspects.recordFailure(digest, "server-${step % 7}", "zone-${step % 2}", now)
            }
            crashes.values.forEach { expectThat(it).isLessThanOrEqualTo(2) }
        }

    @Test
    fun `given one digest that is refused, when any other digest comes, then it is not refused`() =
        property { steps ->
            val suspects = CrashSuspects()
            val poison = "account-1/poison"
            suspects.recordFailure(poison, "server-0", "zone-0", START)
            suspects.recordFailure(poison, "server-1", "zone-1", START + 10.seconds)
            expectThat(suspects.isRefused(poison, START + 10.seconds)).isTrue()
            steps.forEach { step -> expectThat(suspects.isRefused("account-1/request-$step", START + 11.seconds)).isFalse() }
        }

    @Test
    fun `given a zone loss, when any servers of the zone fail within two seconds, then no request is suspected`() =
        property { steps ->
            val suspects = CrashSuspects()
            val digests = steps.distinct().map { "digest-$it" }
            digests.forEachIndexed { index, digest ->
                val at = START + (1_900L * index / digests.size).milliseconds
                suspects.recordFailure(digest, "server-${index % 3}", "zone", at)
            }
            val servers = minOf(3, digests.size)
            if (servers > 1) digests.forEach { expectThat(suspects.countCrashes(it, START + 2.seconds)).isEqualTo(0) }
        }

    @Test
    fun `given one crash, when the request completes, then it is no suspect, and after two it stays refused for a day`() {
        val suspects = CrashSuspects()
        suspects.recordFailure("d", "server-0", "zone-0", START)
        suspects.recordCompletion("d", START + 1.seconds)
        expectThat(suspects.isSuspect("d", START + 1.seconds)).isFalse()
        suspects.recordFailure("d", "server-0", "zone-0", START + 10.seconds)
        suspects.recordFailure("d", "server-1", "zone-0", START + 20.seconds)
        suspects.recordCompletion("d", START + 21.seconds)
        expectThat(suspects.isRefused("d", START + 21.seconds)).isTrue()
        expectThat(suspects.isRefused("d", START + 25.hours)).isFalse()
    }

    private fun property(check: (List<Int>) -> Unit) =
        runBlocking<Unit> {
            println("seed $SEED")
            checkAll(PropTestConfig(seed = SEED, iterations = 200), Arb.list(Arb.int(0..100_000), 1..60)) { check(it) }
        }

    private companion object {
        const val SEED = 20_261_206L
        val START = Instant.fromEpochSeconds(1_700_000_000)
    }
}
