package org.ragwortlever.core.dispatch

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds

/** Pattern: many long prompts that share their first part arrive at several entry VMs that don't know of each other's. */
class PromptAffinityTest {
    private fun parts(shared: String) = listOf(PromptPart(shared, 6300), PromptPart("own-${next++}", 2900))

    private var next = 0

    @Test
    fun `given calm traffic, when several VMs send prompts with the same first part, then one server reads it for all`() {
        val fixtures = (1..7).map { DispatcherFixture("vm-$it").apply { engines(6) } }
        val chosen =
            (0 until 70).map { number ->
                val fixture = fixtures[number % fixtures.size]
                val request = fixture.request(parts = parts("dossier"))
                fixture.submit(request).also { fixture.end(request, AttemptEnd.Answered) }
            }
        expectThat(chosen.toSet()).hasSize(1)
    }

    @Test
    fun `given many different first parts, then all servers for long prompts get some`() {
        val fixture = DispatcherFixture().apply { engines(6) }
        val chosen =
            (0 until 60).map { number ->
                val request = fixture.request(parts = parts("dossier-$number"))
                fixture.submit(request).also { fixture.end(request, AttemptEnd.Answered) }
            }
        expectThat(chosen.toSet()).hasSize(4)
        expectThat(chosen.groupingBy { it }.eachCount().values.max()).isLessThanOrEqualTo(30)
    }

    @Test
    fun `given servers that come after the first prompts, then those for long prompts are chosen among all of them`() {
        val fixture = DispatcherFixture().apply { engines(2) }
        fixture.submit(fixture.request(parts = parts("dossier")))
        fixture.engines(6)
        val chosen =
            (0 until 60).map { number ->
                val request = fixture.request(parts = parts("dossier-$number"))
                fixture.submit(request).also { fixture.end(request, AttemptEnd.Answered) }
            }
        expectThat(chosen.toSet()).hasSize(4)
    }

    @Test
    fun `given a burst about one part, when its server has unread prompts, then others help`() {
        val fixture = DispatcherFixture().apply { engines(6) }
        val chosen = (0 until 30).map { fixture.submit(fixture.request(parts = parts("dossier"))) }
        expectThat(chosen.toSet().size).isGreaterThan(3)
    }

    @Test
    fun `given a burst that is over, when prompts with the same part come one by one, then they meet again`() {
        val fixture = DispatcherFixture().apply { engines(6) }
        val burst = (0 until 30).map { fixture.request(parts = parts("dossier")) }
        burst.forEach { fixture.submit(it) }
        burst.forEach { fixture.end(it, AttemptEnd.Answered) }
        // Some of the burst may still wait for a server.
        burst.forEach { fixture.handle(DispatchEvent.CallerDisconnected(it.key)) }
        val after =
            (0 until 10).map {
                fixture.now += 500.milliseconds
                val request = fixture.request(parts = parts("dossier"))
                fixture.submit(request).also { fixture.end(request, AttemptEnd.Answered) }
            }
        expectThat(after.toSet().size).isEqualTo(1)
    }
}
