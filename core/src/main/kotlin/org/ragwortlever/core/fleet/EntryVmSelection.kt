/*
 * Selects the entry VMs that are returned to a caller. Callers connect to the returned VMs at random, so a VM with less
 * capacity is returned to fewer callers. The result for a caller is stable while the VMs are the same, so that the caller
 * keeps its connections.
 */
package org.ragwortlever.core.fleet

import org.ragwortlever.core.membership.inRendezvousOrder
import org.ragwortlever.core.membership.rendezvousWeight

/** Returns at most [limit] of [nodes] for [caller]; never empty unless [nodes] is. */
fun selectEntryVms(
    caller: String,
    nodes: Collection<NodeRecord>,
    limit: Int,
): List<NodeRecord> {
    val largest = nodes.maxOfOrNull { it.capacity } ?: return emptyList()
    val ordered = nodes.inRendezvousOrder(caller) { it.name }
    val selected = ordered.filter { unitHash(caller, it.name) * largest <= it.capacity }
    // With too few VMs a caller has no alternative when one fails.
    return (if (selected.size >= minOf(MIN_SELECTED_VMS, nodes.size)) selected else ordered).take(limit)
}

/** Hash of [caller] and [node] as a number in [0, 1); the same for each request of the caller. */
private fun unitHash(
    caller: String,
    node: String,
): Double = (rendezvousWeight(node, caller) ushr DISCARDED_HASH_BITS).toDouble() / (1L shl DOUBLE_SIGNIFICAND_BITS)

private const val DOUBLE_SIGNIFICAND_BITS = 53
private const val DISCARDED_HASH_BITS = 11
private const val MIN_SELECTED_VMS = 4
