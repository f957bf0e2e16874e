/*
 * How urgent a request is, as one rank that engines, the deciding VM and logs all use. A client account's tier goes
 * before the route's, and among requests of equal accounts the route's tier decides: without it, an engine that is out
 * of memory would interrupt a short live answer for a long document of the same account tier.
 */
package org.ragwortlever.core.route

/** Ranks under one configuration, from 0, the most urgent, to [LOWEST]. */
internal class UrgencyRanks(
    document: RoutingDocument,
) {
    private val rankByTiers: Map<Tiers, Int>

    init {
        val routeTiers = document.routes.filter { document.hasEngines(it) }.map { it.tier }.distinct()
        val accountTiers: Set<Int?> = document.accounts.mapTo(HashSet()) { it.tier } + null
        val ordered =
            accountTiers
                .flatMap { account -> routeTiers.map { Tiers(account ?: it, it) } }
                .distinct()
                .sortedWith(compareBy(Tiers::accountTier, Tiers::routeTier))
        // With more combinations than ranks, neighbours share one.
        rankByTiers = ordered.withIndex().associate { (index, tiers) -> tiers to index * (LOWEST + 1) / maxOf(ordered.size, LOWEST + 1) }
    }

    /** Requests to plain services wait nowhere by urgency; they rank by their first tier alone. */
    fun rankOf(
        route: Route,
        account: AccountDefinition?,
    ): Int {
        val tiers = Tiers(account?.tier ?: route.tier, route.tier)
        return rankByTiers[tiers] ?: tiers.accountTier.coerceIn(0, LOWEST)
    }

    private fun RoutingDocument.hasEngines(route: Route) = route.targets.any { services[it.service]?.engine != null }

    private data class Tiers(
        val accountTier: Int,
        val routeTier: Int,
    )

    companion object {
        /** The least urgent rank; engines know ten. */
        const val LOWEST = 9
    }
}
