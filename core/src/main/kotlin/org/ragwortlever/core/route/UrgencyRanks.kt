/*
 * Combines the tiers of client account and route into one rank, which engines, the decider and logs use as the tier of
 * a request. The tier of the account takes precedence. Within one account tier the tier of the route decides: otherwise
 * an engine that is out of memory would preempt a short live answer for a long document of the same account tier.
 */
package org.ragwortlever.core.route

/** Ranks for one version of the configuration, from 0, the most urgent, to [LOWEST]. */
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
        // With more combinations than ranks, adjacent combinations share a rank.
        rankByTiers = ordered.withIndex().associate { (index, tiers) -> tiers to index * (LOWEST + 1) / maxOf(ordered.size, LOWEST + 1) }
    }

    /**
     * Returns the rank of a request of [account] on [route]. No queue orders requests to plain services by urgency, so
     * they rank by the tier of the account, or of the route if the account has none.
     */
    fun rankOf(
        route: Route,
        account: AccountDefinition?,
    ): Int {
        val tiers = Tiers(account?.tier ?: route.tier, route.tier)
        return rankByTiers[tiers] ?: tiers.accountTier.coerceIn(0, LOWEST)
    }

    private fun RoutingDocument.hasEngines(route: Route) = route.targets.any { services[it.service]?.engine != null }

    /** [accountTier] is the tier of the route if the account has none. */
    private data class Tiers(
        val accountTier: Int,
        val routeTier: Int,
    )

    companion object {
        /** The least urgent rank; engines support ten priorities. */
        const val LOWEST = 9
    }
}
