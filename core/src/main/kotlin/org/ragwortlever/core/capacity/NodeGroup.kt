/*
 * Static division of a backend server's concurrency limit among the live entry VMs: equal shares, with the remainder
 * assigned round-robin across servers. Nodes with the same members and configuration together never exceed the limit,
 * and if there are at least as many slots as nodes, each node has a slot on some server.
 */
package org.ragwortlever.core.capacity

/**
 * The live entry VMs in an order on which all of them agree.
 *
 * @property position zero-based position of this entry VM in that order.
 * @property size number of live entry VMs, at least 1.
 */
data class NodeGroup(
    val position: Int,
    val size: Int,
) {
    init {
        require(size >= 1 && position in 0 until size) { "position $position is outside a group of $size entry VMs, positions start at 0" }
    }

    /** This node's share of [limit] slots, if the nodes from position [first] on get one remaining slot each. */
    internal fun shareOf(
        limit: Int,
        first: Int,
    ): Int = limit / size + if (Math.floorMod(position - first, size) < limit % size) 1 else 0

    companion object {
        /** Group of a single entry VM. */
        val SINGLE: NodeGroup = NodeGroup(position = 0, size = 1)

        /** Group of the entry VMs [ids] from the view of [self], which is always included. */
        fun of(
            self: String,
            ids: Collection<String>,
        ): NodeGroup {
            val ordered = (ids.toSet() + self).sorted()
            return NodeGroup(ordered.indexOf(self), ordered.size)
        }
    }
}
