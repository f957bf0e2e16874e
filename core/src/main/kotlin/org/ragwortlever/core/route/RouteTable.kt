// Finds the route of a request and the client account of a key in one version of the configuration.
package org.ragwortlever.core.route

/** Lookups over one [document]. Immutable. */
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

    /** Whether requests need a key, unless their route is open. */
    val requiresKeys: Boolean get() = document.accounts.isNotEmpty()

    /** The route of [host] with the longest prefix of [path]; [host] may name a port. */
    fun match(
        host: String,
        path: String,
    ): Route? = routesByHost[host.substringBefore(':').lowercase()]?.firstOrNull { path.startsWith(it.prefix) }

    /** The client account that holds [key]. */
    fun accountOf(key: String): AccountDefinition? = accountsByKey[key]

    /** How urgent a request of [account] on [route] is, from 0, the most urgent, to 9. */
    fun tierOf(
        route: Route,
        account: AccountDefinition?,
    ): Int = urgencyRanks.rankOf(route, account)

    /**
     * The services that may run a request of [route], the one to try first at the front. [position] from 0 up to 1
     * selects among the weights, so that equal positions get the same service.
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
