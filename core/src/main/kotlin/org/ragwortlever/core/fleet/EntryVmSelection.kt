/*
 * Which entry VMs a caller is told of. Callers connect to the named ones at random, so a VM that can bear less is
 * named to fewer callers; each caller gets the same answer as long as the VMs are the same, and keeps its connections.
 */
package org.ragwortlever.core.fleet

import org.ragwortlever.core.membership.inRendezvousOrder
import org.ragwortlever.core.membership.rendezvousWeight

/** The VMs of [nodes] for [caller], at most [limit] of them; never empty when there is any. */
fun selectEntryVms(
    caller: String,
    nodes: Collection<NodeRecord>,
    limit: Int,
): List<NodeRecord> {
    val largest = nodes.maxOfOrNull { it.capacity } ?: return emptyList()
    val ordered = nodes.inRendezvousOrder(caller) { it.name }
    val selected = ordered.filter { unitHash(caller, it.name) * largest <= it.capacity }
    // Few VMs leave a caller no choice when one fails.
    return (if (selected.size >= minOf(MIN_SELECTED_VMS, nodes.size)) selected else ordered).take(limit)
}

/** A number from 0 up to 1 that is the same whenever the same caller asks. */
private fun unitHash(
    caller: String,
    node: String,
): Double = (rendezvousWeight(node, caller) ushr DISCARDED_HASH_BITS).toDouble() / (1L shl DOUBLE_SIGNIFICAND_BITS)

private const val DOUBLE_SIGNIFICAND_BITS = 53
private const val DISCARDED_HASH_BITS = 11
private const val MIN_SELECTED_VMS = 4
