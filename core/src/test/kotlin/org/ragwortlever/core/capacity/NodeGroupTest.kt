package org.ragwortlever.core.capacity

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

@OptIn(ExperimentalKotest::class)
class NodeGroupTest {
    // Guards against entry VMs that together exceed the limit of a fresh server.
    @Test
    fun `H6 given nodes that agree on their members, when a limit is divided, then the shares add up to it and differ by at most one`() =
        runBlocking<Unit> {
            checkAll(PropTestConfig(seed = SEED, iterations = 1000), Arb.int(1..400), Arb.int(0..200), Arb.int(0..5000)) {
                size,
                limit,
                first,
                ->
                val shares = (0 until size).map { NodeGroup(it, size).shareOf(limit, first) }
                expectThat(shares.sum()).isEqualTo(limit)
                expectThat(shares.max() - shares.min()).isLessThanOrEqualTo(1)
            }
        }

    // Guards against an entry VM without a slot on any server although there are enough for all.
    @Test
    fun `given as many slots as nodes, when remainders are assigned round-robin, then every node has a slot on some server`() =
        runBlocking<Unit> {
            checkAll(PropTestConfig(seed = SEED, iterations = 1000), Arb.int(1..40), Arb.int(1..8)) { size, fresh ->
                val servers = (size + fresh - 1) / fresh
                (0 until size).forEach { node ->
                    val slots = (0 until servers).sumOf { NodeGroup(node, size).shareOf(fresh, it * fresh) }
                    expectThat(slots > 0).isEqualTo(true)
                }
            }
        }

    private companion object {
        const val SEED = 20261204L
    }
}
