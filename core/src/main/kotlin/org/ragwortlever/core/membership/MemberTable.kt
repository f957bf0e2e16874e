// Member list of one node, and the selection of the updates that its messages carry.
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

    /**
     * Adds the new members of the platform's list, and removes members that it no longer has and that have been dead
     * for longer than [DEAD_RETENTION]. Returns whether the member list changed.
     */
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

    /**
     * Stores [update] if it is newer than the known record, and refutes a wrong update about this node with a newer
     * incarnation. Returns whether a record changed.
     */
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

    /** Marks this node as leaving, in a new incarnation so that the record replaces older ones. */
    fun markLeaving() {
        self = self.copy(incarnation = self.incarnation.supersede(self.incarnation), isLeaving = true)
    }

    /**
     * Selects up to [MAXIMUM_UPDATES] records for a message to [receiver], in this order: this node's own record; the
     * receiver's record if it is not alive, so that the receiver can refute it; recent updates that have not reached
     * [retransmitLimit], urgent ones and the least sent ones first; and then all members in turn, so that a node that
     * missed an update receives it later.
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
        /** Records per message; keeps a datagram below 600 bytes. */
        const val MAXIMUM_UPDATES = 5

        /** Transmissions of an update per doubling of the number of members. */
        const val RETRANSMIT_MULTIPLIER = 3
        val DEAD_RETENTION = 2.minutes
    }
}
