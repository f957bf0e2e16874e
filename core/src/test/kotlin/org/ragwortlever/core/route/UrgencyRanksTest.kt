package org.ragwortlever.core.route

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.set
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalKotest::class)
class UrgencyRanksTest {
    private fun route(tier: Int) =
        Route("route-$tier", "host", "/$tier/", listOf(WeightedService("engines", 1)), RouteKind.STREAM, 1.seconds, 1.seconds, tier = tier)

    private fun account(tier: Int?) = AccountDefinition("account-$tier", setOf("key-$tier"), tier)

    private fun table(
        routeTiers: Collection<Int>,
        accountTiers: Collection<Int?>,
    ) = RouteTable(
        RoutingDocument(
            version = 1,
            routes = routeTiers.map(::route),
            services = mapOf("engines" to ServiceDefinition("engines", 10, 1.0, engine = EngineSize(64, 200_000))),
            accounts = accountTiers.map(::account),
        ),
    )

    // Guards against preemption of live answers for long documents: engines used to get the tier of the account alone.
    @Test
    fun `given two routes of one account with a tier, when they are ranked, then the route of the higher tier is more urgent`() {
        val table = table(routeTiers = listOf(0, 1, 2), accountTiers = listOf(0, 1))
        val ranks = listOf(0, 1, 2).map { table.tierOf(route(it), account(1)) }
        expectThat(ranks).isEqualTo(ranks.sorted().distinct())
        expectThat(table.tierOf(route(2), account(0))).isLessThan(table.tierOf(route(0), account(1)))
    }

    @Test
    fun `given an account without a tier, when its requests are ranked, then the tier of the route takes its place`() {
        val table = table(routeTiers = listOf(0, 1, 2), accountTiers = listOf(1, null))
        expectThat(table.tierOf(route(0), account(null))).isLessThan(table.tierOf(route(0), account(1)))
        expectThat(table.tierOf(route(2), account(null))).isGreaterThan(table.tierOf(route(2), account(1)))
        expectThat(table.tierOf(route(1), null)).isEqualTo(table.tierOf(route(1), account(1)))
    }

    @Test
    fun `given any tiers, when requests are ranked, then account precedes route and ranks are from 0 to 9`(): Unit =
        runBlocking {
            val tiers = Arb.set(Arb.int(0..9), 1..6)
            checkAll(PropTestConfig(seed = 19), tiers, tiers) { routeTiers, accountTiers ->
                val table = table(routeTiers, accountTiers)
                val ordered = accountTiers.sorted().flatMap { first -> routeTiers.sorted().map { first to it } }
                val ranks = ordered.map { (first, second) -> table.tierOf(route(second), account(first)) }
                expectThat(ranks).isEqualTo(ranks.sorted())
                ranks.forEach { expectThat(it).isIn(0..9) }
                if (ordered.size + routeTiers.size <= 10) expectThat(ranks.distinct().size).isEqualTo(ordered.size)
            }
        }
}
