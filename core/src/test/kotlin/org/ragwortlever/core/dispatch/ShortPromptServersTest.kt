package org.ragwortlever.core.dispatch

import org.junit.jupiter.api.Test
import org.ragwortlever.core.backend.KnownServer
import org.ragwortlever.core.backend.server
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import kotlin.time.Instant

/** Pattern: a burst of long prompts while live conversations go on. */
class ShortPromptServersTest {
    private val start = Instant.fromEpochSeconds(1000)

    private fun states(count: Int) = (0 until count).map {
        ServerState(KnownServer(server("engine-$it", zone = "abc"[it % 3].toString()), start))
    }

    private fun prompt(tokens: Int) = listOf(PromptPart("part-$tokens-${next++}", tokens))

    private var next = 0

    @Test
    fun `given the same servers in any order, then every VM makes the same division`() {
        val servers = states(9)
        expectThat(serversForShortPrompts("engines", servers.reversed())).isEqualTo(serversForShortPrompts("engines", servers))
    }

    @Test
    fun `given two short-prompt servers, when they are chosen, then they lie in different zones`() {
        val servers = states(8)
        val chosen = serversForShortPrompts("engines", servers)
        expectThat(chosen).hasSize(2)
        expectThat(servers.filter { it.id in chosen }.map { it.zone }.toSet()).hasSize(2)
    }

    @Test
    fun `given two servers only, then none is kept apart`() {
        expectThat(serversForShortPrompts("engines", states(2))).isEmpty()
    }

    @Test
    fun `given a burst of long prompts, then live conversations don't share a server with any`() {
        val fixture = DispatcherFixture().apply { engines(9) }
        val long = (0 until 40).map { fixture.submit(fixture.request(parts = prompt(9000))) }
        val short = (0 until 20).map { fixture.submit(fixture.request(parts = prompt(700))) }
        expectThat(long.toSet().intersect(short.toSet())).isEmpty()
    }

    @Test
    fun `given that all servers of one kind are gone, then the others take its requests`() {
        val fixture = DispatcherFixture().apply { engines(3) }
        val request = fixture.request(parts = prompt(700))
        val short = checkNotNull(fixture.submit(request))
        fixture.handle(DispatchEvent.FirstByteReceived(request.key))
        fixture.servers(server(short))
        expectThat(fixture.submit(fixture.request(parts = prompt(9000)))).isNotNull().isEqualTo(short)
    }
}
