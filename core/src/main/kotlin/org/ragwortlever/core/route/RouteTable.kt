// Looks up the route of a request and the client account of a key in one version of the configuration.
package org.ragwortlever.core.route

/** Index of [document] for lookups on the request path. Immutable. */
class RouteTable(
    val document: RoutingDocument,
) {
    private val routesByHost = document.routes.groupBy { it.host.lowercase() }.mapValues {
        it.value.sortedByDescending { route ->
            route.prefix.length
        }
    }
    private val accountsByKey = document.accounts.flatMap { account -> account.keys.map { it to account } }.toMap()

    private val urgencyRanks = UrgencyRanks(document)

    /** Whether requests need a key, except on open routes. */
    val requiresKeys: Boolean get() = document.accounts.isNotEmpty()

    /** Returns the route of [host] with the longest prefix of [path], null if none matches. [host] can have a port. */
    fun match(
        host: String,
        path: String,
    ): Route? = routesByHost[host.substringBefore(':').lowercase()]?.firstOrNull { path.startsWith(it.prefix) }

    /** Returns the client account that owns [key]; null if there is none. */
    fun accountOf(key: String): AccountDefinition? = accountsByKey[key]

    /** Returns the tier of a request of [account] on [route], from 0, the most urgent, to 9. */
    fun tierOf(
        route: Route,
        account: AccountDefinition?,
    ): Int = urgencyRanks.rankOf(route, account)

    /**
     * Returns the services that may run a request of [route], the one to try first at the front.
     *
     * @param position from 0 up to but not including 1, selects the first service by weight. Equal positions select the
     *     same service.
     */
    fun servicesFor(
        route: Route,
        position: Double,
    ): List<ServiceDefinition> {
        val total = route.targets.sumOf { it.weight }
        var rest = position * total
        val first = route.targets.firstOrNull { target -> (rest < target.weight).also { if (!it) rest -= target.weight } }
        val order = listOfNotNull(first) + route.targets.filter { it != first && it.weight > 0 }
        return order.mapNotNull { document.services[it.service] }
    }
}
