package org.ragwortlever.core.dispatch

import org.junit.jupiter.api.Test
import org.ragwortlever.core.backend.KnownServer
import org.ragwortlever.core.backend.server
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Pattern: reports that are lost, repeated or late, and VMs that go without a word. */
class PoolDeciderTest {
    private var now = Instant.fromEpochSeconds(1000)
    private val pool =
        ServerPool(DispatchOptions("decider", "a")).apply {
            replace(listOf("one", "two").map { KnownServer(server(it), Instant.DISTANT_PAST) })
        }
    private val poolDecider = PoolDecider(pool)

    private fun report(
        sequence: Long,
        vararg attempts: ReportedAttempt,
        pending: List<Long> = emptyList(),
        node: String = "vm-1",
    ) = PoolReport(node, "engines", sequence, attempts.toList(), pending, emptyList())

    private fun question(
        number: Long,
        report: PoolReport,
        excluded: Set<String> = emptySet(),
    ): PoolQuestion {
        val parts = listOf(PromptPart("own-$number", 1000))
        return PoolQuestion(report, number, "request-$number", parts, 100, "a", 200_000, excluded, emptySet(), 1, 1000, 5000)
    }

    private fun advice(question: PoolQuestion): PoolAdvice? = (poolDecider.answer(question, now) as? PoolAnswer.Advised)?.advice

    private fun unread(server: String) = checkNotNull(pool.find(server)).unreadTokens

    @Test
    fun `given a newer report, then it replaces the older one, which changes nothing when it comes late`() {
        poolDecider.applyReport(report(2, ReportedAttempt("one", 500, 700)), now)
        poolDecider.applyReport(report(3, ReportedAttempt("two", 300, 400)), now)
        poolDecider.applyReport(report(2, ReportedAttempt("one", 500, 700)), now)
        expectThat(unread("one")).isEqualTo(0)
        expectThat(unread("two")).isEqualTo(300)
    }

    @Test
    fun `given an answer that its VM still awaits, when the VM reports, then the advised request counts until the VM knows it`() {
        val advice = checkNotNull(advice(question(1, report(1, pending = listOf(1)))))
        poolDecider.applyReport(report(2, pending = listOf(1)), now)
        expectThat(unread(advice.server)).isEqualTo(1000)
        poolDecider.applyReport(report(3, ReportedAttempt(advice.server, 1000, 1100)), now)
        expectThat(unread(advice.server)).isEqualTo(1000)
        poolDecider.applyReport(report(4), now)
        expectThat(unread(advice.server)).isEqualTo(0)
    }

    @Test
    fun `given a VM that is no longer in the fleet, then its attempts count no more`() {
        poolDecider.applyReport(report(1, ReportedAttempt("one", 500, 700)), now)
        poolDecider.applyReport(report(1, ReportedAttempt("one", 300, 400), node = "vm-2"), now)
        poolDecider.retainOnly(setOf("decider", "vm-2"))
        expectThat(unread("one")).isEqualTo(300)
    }

    @Test
    fun `given a VM that reports nothing for long, when another asks, then its attempts count no more`() {
        poolDecider.applyReport(report(1, ReportedAttempt("one", 500, 700)), now)
        now += 20.seconds
        poolDecider.answer(question(1, report(1, node = "vm-2"), excluded = setOf("one")), now)
        expectThat(unread("one")).isEqualTo(0)
    }

    @Test
    fun `given only servers that the request must not get, then no advice is given`() {
        expectThat(poolDecider.answer(question(1, report(1), excluded = setOf("one", "two")), now)).isEqualTo(PoolAnswer.NoServer)
        expectThat(advice(question(2, report(2), excluded = setOf("one")))).isNotNull().get { server }.isEqualTo("two")
    }

    @Test
    fun `given a zone that is taken out, then none of its servers is advised`() {
        pool.zonesTakenOut = setOf("a")
        expectThat(poolDecider.answer(question(1, report(1)), now)).isEqualTo(PoolAnswer.NoServer)
    }

    @Test
    fun `given a report about a server that is not known here, then it changes nothing`() {
        poolDecider.applyReport(report(1, ReportedAttempt("gone", 500, 700)), now)
        expectThat(unread("one") + unread("two")).isEqualTo(0)
    }
}
