package org.ragwortlever.daemon.fleet

import org.junit.jupiter.api.Test
import org.ragwortlever.core.route.RouteTable
import org.ragwortlever.core.route.RoutingDocument
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Guards against rejected requests when all VMs restart at once and callers connect before the configuration is read. */
class ActiveRouteTableTest {
    private val start = Instant.fromEpochSeconds(1000)

    @Volatile
    private var now = start
    private val activeRoutes = ActiveRouteTable(start) { now }
    private val table = RouteTable(RoutingDocument(1, emptyList(), emptyMap(), emptyList()))

    @Test
    fun `given a VM that has just started, when a request precedes the first table, then it waits for the table`() {
        val waiting = CompletableFuture.supplyAsync(activeRoutes::await)
        activeRoutes.replace(table)
        expectThat(waiting.get(10, TimeUnit.SECONDS)).isEqualTo(table)
    }

    @Test
    fun `given no table after the timeout, when a request arrives, then it does not wait`() {
        now = start + 5.seconds
        expectThat(CompletableFuture.supplyAsync(activeRoutes::await).get(10, TimeUnit.SECONDS)).isNull()
    }
}
