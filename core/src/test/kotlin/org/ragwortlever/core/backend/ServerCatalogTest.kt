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
    fun `given a store without trouble, when an announcement goes, then its server gets nothing more at once`() {
        catalog.put(server("one"), start)
        catalog.remove("one", start)
        expectThat(usable()).isEmpty()
    }

    @Test
    fun `given a server that drains, when it is asked for, then it is known and not usable`() {
        catalog.put(server("one", isDraining = true), start)
        expectThat(usable()).isEmpty()
        expectThat(catalog.all.map { it.server.id }).containsExactly("one")
    }

    @Test
    fun `given an outage in which announcements lapsed, when the store is back, then servers have time to return`() {
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
    fun `given an outage, when a draining server's announcement goes, then it is gone at once`() {
        catalog.put(server("one", isDraining = true), start)
        catalog.markStoreUnavailable()
        catalog.remove("one", start + 1.seconds)
        expectThat(catalog.all.map { it.server.id }).isEmpty()
    }

    @Test
    fun `given a lapsed announcement, when the next outage begins before its time is over, then it is kept on`() {
        catalog.put(server("one"), start)
        catalog.markStoreUnavailable()
        catalog.markStoreAvailable(start + 5.seconds)
        catalog.remove("one", start + 5.seconds)
        catalog.markStoreUnavailable()
        expectThat(catalog.expire(start + 60.seconds)).isEqualTo(false)
        expectThat(usable()).containsExactly("one")
    }

    @Test
    fun `given a cold server, when it is announced, then it is cold for the time that is left`() {
        catalog.put(server("one", coldFor = 3.seconds), start)
        expectThat(catalog.usable.single().coldUntil).isEqualTo(start + 3.seconds)
    }
}
