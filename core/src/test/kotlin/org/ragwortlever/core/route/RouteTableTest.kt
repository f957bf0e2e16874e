package org.ragwortlever.core.route

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.seconds

class RouteTableTest {
    private fun route(
        name: String,
        host: String,
        prefix: String,
        vararg targets: WeightedService,
    ) = Route(name, host, prefix, targets.toList(), RouteKind.IDEMPOTENT, 1.seconds, 1.seconds)

    private fun service(name: String) = ServiceDefinition(name, connectionLimit = 10, coldRequestsPerSecond = 1.0)

    private val table =
        RouteTable(
            RoutingDocument(
                version = 3,
                routes =
                    listOf(
                        route("short", "a.example", "/orders/", WeightedService("one", 1)),
                        route("long", "a.example", "/orders/new/", WeightedService("one", 3), WeightedService("two", 1)),
                    ),
                services = listOf("one", "two").associateWith(::service),
                accounts = listOf(AccountDefinition("client", setOf("key-1", "key-2"), tier = 1)),
            ),
        )

    @Test
    fun `given a path that starts with two prefixes, when it is matched, then the longest prefix wins`() {
        expectThat(table.match("a.example", "/orders/new/7")?.name).isEqualTo("long")
        expectThat(table.match("a.example", "/orders/7")?.name).isEqualTo("short")
    }

    @Test
    fun `given a host in another case and with a port, when it is matched, then case and port are ignored`() {
        expectThat(table.match("A.Example:8080", "/orders/7")?.name).isEqualTo("short")
    }

    @Test
    fun `given a path without the final slash of a prefix or an unknown host, when it is matched, then there is no route`() {
        expectThat(table.match("a.example", "/orders")).isNull()
        expectThat(table.match("b.example", "/orders/7")).isNull()
    }

    @Test
    fun `given weights 3 and 1, when positions are evenly spaced, then a quarter of the requests tries the second service first`() {
        val route = checkNotNull(table.match("a.example", "/orders/new/7"))
        val firsts = (0 until 100).map { table.servicesFor(route, it / 100.0).first().name }
        expectThat(firsts.count { it == "two" }).isEqualTo(25)
        expectThat(table.servicesFor(route, 0.9).map { it.name }).containsExactly("two", "one")
    }

    @Test
    fun `given an account with two keys, when a key is looked up, then the account is found only by its own keys`() {
        expectThat(table.accountOf("key-2")?.name).isEqualTo("client")
        expectThat(table.accountOf("key-3")).isNull()
    }
}
