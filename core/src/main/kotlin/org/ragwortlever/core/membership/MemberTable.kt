// The member list of one node and the updates that it passes on with its messages.
package org.ragwortlever.core.membership

import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

internal class MemberTable(
    var self: Member,
) {
    private val members = HashMap<String, Member>()
    private val sendCounts = HashMap<String, Int>()
    private val changedAt = HashMap<String, Instant>()
    private var roundRobin: Iterator<Member> = emptyList<Member>().iterator()
    private var platformList: Map<String, Member> = emptyMap()

    val others: Collection<Member> get() = members.values

    operator fun get(id: String): Member? = members[id]

    fun isListedAsLeaving(id: String): Boolean = platformList[id]?.isLeaving == true

    /** Takes the platform's list: it adds members, and lets go of dead ones that it no longer has. */
    fun applyPlatformList(
        newList: List<Member>,
        now: Instant,
    ): Boolean {
        platformList = newList.associateBy { it.id }
        val new = newList.filter { it.id != self.id && it.id !in members }
        new.forEach { members[it.id] = it.copy(incarnation = Incarnation.UNKNOWN, state = MemberState.ALIVE) }
        val gone = members.values.filter {
            it.id !in platformList && it.state == MemberState.DEAD &&
                now - lastChangedAt(it) > DEAD_RETENTION
        }
        gone.forEach { members.remove(it.id) }
        return new.isNotEmpty() || gone.isNotEmpty()
    }

    /** Takes [update] if it is news; the node answers beliefs about itself with a newer incarnation. */
    fun merge(
        update: Member,
        now: Instant,
    ): Boolean {
        if (update.id == self.id) return refute(update)
        val known = members[update.id]
        if (known != null && !update.replaces(known)) return false
        members[update.id] = update
        changedAt[update.id] = now
        sendCounts[update.id] = 0
        return true
    }

    fun lastChangedAt(member: Member): Instant = changedAt[member.id] ?: Instant.DISTANT_PAST

    /** Announces that this node stops. */
    fun markLeaving() {
        self = self.copy(incarnation = self.incarnation.supersede(self.incarnation), isLeaving = true)
    }

    /**
     * Up to [MAXIMUM_UPDATES] records for a message to [receiver]: this node's own, what others believe of the
     * receiver, news that has not been passed on often enough with bad news first, and then all members in turn, so
     * that a node that missed some news gets it later.
     */
    fun updatesFor(receiver: String): List<Member> {
        val updates = LinkedHashMap<String, Member>()
        updates[self.id] = self
        members[receiver]?.takeIf { it.state != MemberState.ALIVE }?.let { updates[it.id] = it }
        sendCounts.entries
            .sortedWith(compareBy({ members[it.key]?.isUrgent != true }, { it.value }))
            .take(MAXIMUM_UPDATES - updates.size)
            .forEach { (id, _) -> members[id]?.let { updates[id] = it } }
        updates.keys.forEach { id -> sendCounts.computeIfPresent(id) { _, count -> count + 1 } }
        sendCounts.values.removeAll { it >= retransmitLimit() }
        while (updates.size < minOf(MAXIMUM_UPDATES, members.size + 1)) nextRoundRobin().let { updates[it.id] = it }
        return updates.values.toList()
    }

    private fun nextRoundRobin(): Member {
        if (!roundRobin.hasNext()) roundRobin = members.values.toList().iterator()
        return roundRobin.next().let { members[it.id] ?: it }
    }

    private fun refute(update: Member): Boolean {
        val isAccurate = update.incarnation == self.incarnation && update.state == MemberState.ALIVE
        if (isAccurate || update.incarnation < self.incarnation) return false
        self = self.copy(incarnation = self.incarnation.supersede(update.incarnation))
        return true
    }

    private fun retransmitLimit(): Int = RETRANSMIT_MULTIPLIER * (Int.SIZE_BITS - members.size.countLeadingZeroBits())

    private companion object {
        /** Keeps a datagram below 600 bytes. */
        const val MAXIMUM_UPDATES = 5
        const val RETRANSMIT_MULTIPLIER = 3
        val DEAD_RETENTION = 2.minutes
    }
}
