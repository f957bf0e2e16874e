package org.ragwortlever.core.backend

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class ServerCatalogTest {
    private val start = Instant.fromEpochSeconds(1000)
    private val catalog = ServerCatalog()

    private fun usable() = catalog.usable.map { it.server.id }

    @Test
    fun `given an available store, when an announcement is removed, then its server is unusable at once`() {
        catalog.put(server("one"), start)
        catalog.remove("one", start)
        expectThat(usable()).isEmpty()
    }

    @Test
    fun `given a draining server, when it is looked up, then it is known but not usable`() {
        catalog.put(server("one", isDraining = true), start)
        expectThat(usable()).isEmpty()
        expectThat(catalog.all.map { it.server.id }).containsExactly("one")
    }

    @Test
    fun `given an outage in which announcements expired, when the store is back, then servers have time to announce themselves again`() {
        catalog.put(server("one"), start)
        catalog.put(server("two"), start)
        catalog.markStoreUnavailable()
        catalog.markStoreAvailable(start + 10.seconds)
        catalog.replaceAll(emptyList(), start + 10.seconds)
        expectThat(usable().sorted()).containsExactly("one", "two")
        catalog.put(server("two"), start + 11.seconds)
        catalog.expire(start + 12.seconds)
        expectThat(usable().sorted()).containsExactly("one", "two")
        catalog.expire(start + 13.seconds)
        expectThat(usable()).containsExactly("two")
    }

    @Test
    fun `given an outage, when a draining server's announcement is removed, then the server is removed at once`() {
        catalog.put(server("one", isDraining = true), start)
        catalog.markStoreUnavailable()
        catalog.remove("one", start + 1.seconds)
        expectThat(catalog.all.map { it.server.id }).isEmpty()
    }

    @Test
    fun `given an expired announcement, when another outage begins within the grace period, then the server is kept`() {
        catalog.put(server("one"), start)
        catalog.markStoreUnavailable()
        catalog.markStoreAvailable(start + 5.seconds)
        catalog.remove("one", start + 5.seconds)
        catalog.markStoreUnavailable()
        expectThat(catalog.expire(start + 60.seconds)).isEqualTo(false)
        expectThat(usable()).containsExactly("one")
    }

    private val ready = server("one", incarnation = 2).copy(sequence = 4)
    private val draining = server("one", incarnation = 2, isDraining = true).copy(sequence = 5)

    /** Announcements that say less than [draining], in any order in which they may arrive. */
    private val outdated =
        listOf(ready, ready.copy(sequence = 6), server("one").copy(sequence = 9), server("one", incarnation = 0).copy(sequence = 9))

    /** A process that shuts down does not serve again, so only a new one gets requests. */
    private fun expectOnlyNewProcess() {
        expectThat(usable()).isEmpty()
        catalog.put(server("one", incarnation = 3), start)
        expectThat(usable()).containsExactly("one")
    }

    @Test
    fun `given a listing of an older copy, when it has a draining server as it was before, then only a new process gets requests`() {
        catalog.put(draining, start)
        outdated.forEach { older ->
            catalog.replaceAll(listOf(older), start)
            expectThat(usable()).describedAs("$older").isEmpty()
        }
        expectOnlyNewProcess()
    }

    // A write that the store executes late, or an entry without its start time, has made a draining server usable again.
    @Test
    fun `given a draining server, when an older announcement comes as a change, then only a new process gets requests`() {
        catalog.put(draining, start)
        outdated.forEach { older ->
            expectThat(catalog.put(older, start)).describedAs("$older").isEqualTo(false)
            expectThat(usable()).describedAs("$older").isEmpty()
        }
        expectOnlyNewProcess()
    }

    // A server was forgotten with its entry, so that the listing of an older copy made it usable again.
    @Test
    fun `given a draining server whose entry has ended, when a listing has it as it was before, then only a new process gets requests`() {
        catalog.put(draining, start)
        catalog.remove("one", start)
        outdated.forEach { older ->
            catalog.replaceAll(listOf(older), start)
            expectThat(usable()).describedAs("$older").isEmpty()
        }
        expectOnlyNewProcess()
    }

    @Test
    fun `given a server that ended without a word, when the store comes back from a copy with it, then it must say something new`() {
        catalog.put(ready, start)
        catalog.remove("one", start)
        catalog.markStoreRestored(start + 1.seconds)
        catalog.replaceAll(listOf(ready), start + 1.seconds)
        expectThat(usable()).isEmpty()
        catalog.put(ready.copy(sequence = 5), start + 2.seconds)
        expectThat(usable()).containsExactly("one")
    }

    // Writing the same value again after a loss is all that a live server does.
    @Test
    fun `given a server whose entry has ended, when the same entry is written again, then the server is usable`() {
        catalog.put(ready, start)
        catalog.remove("one", start)
        catalog.put(ready, start + 1.seconds)
        expectThat(usable()).containsExactly("one")
    }

    @Test
    fun `given a cold server, when it is announced, then it is cold for the announced time`() {
        catalog.put(server("one", coldFor = 3.seconds), start)
        expectThat(catalog.usable.single().coldUntil).isEqualTo(start + 3.seconds)
    }
}
