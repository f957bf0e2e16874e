package org.ragwortlever.core.backend

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.double
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Pattern: a burst meets servers that have just started, and every entry VM would like to use them. */
@OptIn(ExperimentalKotest::class)
class SlowStartLimiterPropertyTest {
    private val start = Instant.fromEpochSeconds(1000)

    @Test
    fun `given any number of entry VMs that all want to send, then no second holds more than the server bears`() {
        println("seed $SEED")
        runBlocking {
            checkAll(PropTestConfig(seed = SEED, iterations = 200), Arb.int(1..80), Arb.double(1.0, 20.0)) { count, requestsPerSecond ->
                val names = (1..count).map { "vm-$it" }.toSet()
                val limiters = names.associateWith { SlowStartLimiter(it) }
                val sends = ArrayList<Instant>()
                for (step in 0 until 100) {
                    val now = start + 50.milliseconds * step
                    limiters.values.filter { it.allows("server", requestsPerSecond, names, now) }.forEach {
                        it.recordSend("server", now)
                        sends += now
                    }
                }
                // The platform allows the rate one and a half times, and five requests more, in any second.
                val busiest = sends.maxOfOrNull { from -> sends.count { it >= from && it < from + 1.seconds } } ?: 0
                expectThat(busiest.toDouble()).isLessThanOrEqualTo(requestsPerSecond * 1.5 + 5)
            }
        }
    }

    private companion object {
        const val SEED = 7_302_114L
    }
}
