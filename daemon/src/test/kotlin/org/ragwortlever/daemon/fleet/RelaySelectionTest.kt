package org.ragwortlever.daemon.fleet

import org.junit.jupiter.api.Test
import org.ragwortlever.core.fleet.NodeRecord
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull

/** Guards against store calls, each of which has a cost, that grow in number with the fleet. */
class RelaySelectionTest {
    private fun nodes(
        count: Int,
    ) = (0 until count).map { NodeRecord("vm-$it", 1, "10.0.0.1:80", "abc"[it % 3].toString(), "r", 1.0, "10.0.0.$it:7") }

    private fun relay(
        node: NodeRecord,
        nodes: List<NodeRecord>,
        excludedRelays: Set<String> = emptySet(),
    ) = selectRelay(node.name, node.zone, nodes, excludedRelays)

    @Test
    fun `given a small fleet, when relays are selected, then every VM reads from the store`() {
        val nodes = nodes(8)
        expectThat(nodes.map { relay(it, nodes) }).all { isNull() }
    }

    @Test
    fun `given a large fleet, when relays are selected, then few VMs read from the store and the others use one in their zone`() {
        val nodes = nodes(69)
        val asking = nodes.filter { relay(it, nodes) == null }
        expectThat(asking.size).isIn(3..4)
        nodes.mapNotNull { node -> relay(node, nodes)?.let { node to it } }.forEach { (node, relay) ->
            expectThat(relay.zone).isEqualTo(node.zone)
            expectThat(asking).contains(relay)
        }
    }

    @Test
    fun `given an excluded relay, when a relay is selected, then it is another one`() {
        val nodes = nodes(69)
        val node = nodes.first { relay(it, nodes) != null }
        val first = checkNotNull(relay(node, nodes))
        expectThat(relay(node, nodes, setOf(first.name))).isNotEqualTo(first)
    }
}
