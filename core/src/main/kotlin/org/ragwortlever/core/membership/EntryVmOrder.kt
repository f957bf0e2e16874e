// Orders the entry VMs that a caller should connect to by preference.
package org.ragwortlever.core.membership

/**
 * Returns the entry VMs for [caller], the preferred one first: healthy members before others, then members of this
 * node's zone, then members of its region. Ties are ordered by rendezvous hashing of [caller], so that a caller always
 * gets the same order and different callers are spread over the nodes. Leaving and dead members are excluded. This node
 * is included unless it is leaving, even if it knows no other member.
 */
fun Membership.entryVms(caller: String): List<Member> {
    val candidates =
        members.filterKeys { !isLeaving(it) }.filterValues { it != Health.DEAD } +
            listOf(self to Health.HEALTHY).filterNot { isLeaving(self) }
    val rank = rendezvousOrder(caller, candidates.keys.map { it.id }).withIndex().associate { it.value to it.index }
    return candidates.keys.sortedWith(
        compareBy({ candidates[it] != Health.HEALTHY }, { it.zone != self.zone }, { it.region != self.region }, { rank[it.id] }),
    )
}
