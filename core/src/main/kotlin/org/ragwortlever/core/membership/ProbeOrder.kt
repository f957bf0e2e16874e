// Selects the member that a node probes next.
package org.ragwortlever.core.membership

import kotlin.random.Random

/**
 * Probes the members in shuffled rounds, so that each is probed within a bounded time. Every fourth probe goes to
 * another zone; the other three of four stay in this node's zone, where traffic is cheap. Every tenth probe goes to a
 * member that is marked dead, because the two sides of a healed network partition would not find each other otherwise.
 */
internal class ProbeOrder(
    private val self: Peer,
    private val random: Random,
) {
    private val sameZoneRound = ArrayDeque<String>()
    private val otherZoneRound = ArrayDeque<String>()
    private var probes = 0

    /** Selects one of [members], or returns null if there is none. */
    fun next(members: Collection<Member>): Member? {
        probes++
        val (dead, live) = members.partition { it.state == MemberState.DEAD }
        if (dead.isNotEmpty() && (live.isEmpty() || probes % DEAD_PERIOD == 0)) return dead.random(random)
        val (sameZone, otherZones) = live.partition { it.zone == self.zone }
        val shouldProbeOtherZone = sameZone.isEmpty() || (otherZones.isNotEmpty() && probes % OTHER_ZONE_PERIOD == 0)
        return if (shouldProbeOtherZone) otherZoneRound.next(otherZones) else sameZoneRound.next(sameZone)
    }

    private fun ArrayDeque<String>.next(candidates: List<Member>): Member? {
        if (candidates.isEmpty()) return null
        val byId = candidates.associateBy { it.id }
        while (isNotEmpty()) byId[removeFirst()]?.let { return it }
        addAll(byId.keys.shuffled(random))
        return byId.getValue(removeFirst())
    }

    private companion object {
        const val OTHER_ZONE_PERIOD = 4
        const val DEAD_PERIOD = 10
    }
}
