/*
 * Failure detection between the nodes, based on SWIM. Each node probes one member per second; if the member does not
 * answer, the node asks other members to probe it before it suspects it. Only members of the same region declare a
 * member dead: across regions, a node cannot distinguish dead members from a network partition, so it treats them as
 * unreachable until it receives a message from that region again.
 */
package org.ragwortlever.core.membership

import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Membership view of one node. Not thread-safe: only the control thread may use it. */
class Membership(
    self: Member,
    private val random: Random,
) {
    private val table = MemberTable(self)
    private val probeOrder = ProbeOrder(self.peer, random)
    private val probes = HashMap<Long, Probe>()
    private val relayedProbes = HashMap<Long, RelayedProbe>()
    private val failuresByRegion = HashMap<String, Int>()
    private val effects = ArrayList<MembershipEffect>()
    private var lastProbeNumber = 0L
    private var nextProbeAt = Instant.DISTANT_PAST
    private var hasUrgentUpdates = false
    private var urgentBudget = URGENT_BURST
    private var budgetRefilledAt = Instant.DISTANT_FUTURE

    /** Record of this node. */
    val self: Member get() = table.self

    /** All other members and their health. */
    val members: Map<Member, Health> get() = table.others.associateWith(::health)

    /** Whether [member] has announced that it is leaving, or the platform lists it as leaving. */
    fun isLeaving(member: Member): Boolean = member.isLeaving || table.isListedAsLeaving(member.id)

    /** Processes [event] and every timeout that is due at [now], and returns the effects to carry out in order. */
    fun handle(
        event: MembershipEvent,
        now: Instant,
    ): List<MembershipEffect> {
        when (event) {
            is MembershipEvent.MembersListed -> if (table.applyPlatformList(event.members, now)) effects += MembershipEffect.PublishMembers
            is MembershipEvent.Received -> receive(event.from, event.message, now)
            MembershipEvent.LeaveRequested -> announceLeave()
            MembershipEvent.Tick -> Unit
        }
        tick(now)
        sendUrgentUpdates(now)
        return effects.toList().also { effects.clear() }
    }

    private fun health(member: Member): Health =
        when {
            member.state == MemberState.DEAD -> Health.DEAD
            isRegionUnreachable(member.region) -> Health.REGION_UNREACHABLE
            member.state == MemberState.SUSPECT -> Health.SUSPECT
            else -> Health.HEALTHY
        }

    private fun isRegionUnreachable(region: String): Boolean = (failuresByRegion[region] ?: 0) >= REGION_FAILURE_THRESHOLD

    private fun receive(
        from: String,
        message: MembershipMessage,
        now: Instant,
    ) {
        message.updates.forEach { merge(it, now) }
        val sender = table[from] ?: return
        if (isRegionUnreachable(sender.region)) effects += MembershipEffect.PublishMembers
        failuresByRegion.remove(sender.region)
        when (message) {
            is MembershipMessage.Ping -> {
                send(sender, MembershipMessage.Ack(message.number, table.updatesFor(from)))
            }
            is MembershipMessage.PingRequest -> {
                val target = table[message.target] ?: return
                relayedProbes[ping(target)] = RelayedProbe(sender, message.number, now)
            }
            is MembershipMessage.UrgentUpdates -> {
                Unit
            }
            is MembershipMessage.Ack -> {
                probes.remove(message.number)
                val relay = relayedProbes.remove(message.number) ?: return
                send(relay.requester, MembershipMessage.Ack(relay.number, table.updatesFor(relay.requester.id)))
            }
        }
    }

    private fun merge(
        update: Member,
        now: Instant,
    ) {
        if (!table.merge(update, now)) return
        effects += MembershipEffect.PublishMembers
        if (update.isUrgent && update.id != self.id) hasUrgentUpdates = true
    }

    /** Sends urgent updates without waiting for the next probe. A token bucket limits the traffic when many members fail at once. */
    private fun sendUrgentUpdates(now: Instant) {
        budgetRefilledAt = minOf(budgetRefilledAt, now)
        urgentBudget = minOf(URGENT_BURST, urgentBudget + (now - budgetRefilledAt) / 1.seconds * URGENT_PER_SECOND)
        budgetRefilledAt = now
        if (!hasUrgentUpdates) return
        hasUrgentUpdates = false
        table.others
            .filter { it.state == MemberState.ALIVE }
            .shuffled(random)
            .take(minOf(URGENT_FANOUT, urgentBudget.toInt()))
            .forEach {
                urgentBudget--
                send(it, MembershipMessage.UrgentUpdates(table.updatesFor(it.id)))
            }
    }

    private fun announceLeave() {
        table.markLeaving()
        effects += MembershipEffect.PublishMembers
        table.others.filter { it.state != MemberState.DEAD }.shuffled(random).take(LEAVE_FANOUT).forEach { ping(it) }
    }

    private fun tick(now: Instant) {
        relayedProbes.values.removeAll { now - it.startedAt > PROBE_TIMEOUT }
        advanceProbes(now)
        table.others
            .filter { it.state == MemberState.SUSPECT && now - table.lastChangedAt(it) >= SUSPICION_TIMEOUT && it.region == self.region }
            .forEach { merge(it.copy(state = MemberState.DEAD), now) }
        if (now < nextProbeAt) return
        nextProbeAt = now + PROBE_PERIOD
        val target = probeOrder.next(table.others) ?: return
        probes[ping(target)] = Probe(target, now)
    }

    private fun advanceProbes(now: Instant) {
        probes.filterValues { !it.isIndirect && now - it.startedAt >= DIRECT_PROBE_TIMEOUT }.forEach { (number, probe) ->
            probe.isIndirect = true
            table.others
                .filter { it.state == MemberState.ALIVE && it.id != probe.target.id }
                .shuffled(random)
                .sortedBy { it.region != probe.target.region }
                .take(INDIRECT_PROBES)
                .forEach { send(it, MembershipMessage.PingRequest(number, probe.target.id, table.updatesFor(it.id))) }
        }
        val failed = probes.filterValues { now - it.startedAt >= PROBE_TIMEOUT }
        probes.keys.removeAll(failed.keys)
        failed.values.forEach { handleFailedProbe(it, now) }
    }

    private fun handleFailedProbe(
        probe: Probe,
        now: Instant,
    ) {
        val target = table[probe.target.id] ?: return
        if (target.region != self.region) {
            failuresByRegion.merge(target.region, 1, Int::plus)
            effects += MembershipEffect.PublishMembers
        } else if (target.state == MemberState.ALIVE && target.incarnation == probe.target.incarnation) {
            merge(target.copy(state = MemberState.SUSPECT), now)
        }
    }

    private fun ping(target: Member): Long {
        val number = ++lastProbeNumber
        send(target, MembershipMessage.Ping(number, table.updatesFor(target.id)))
        return number
    }

    private fun send(
        to: Member,
        message: MembershipMessage,
    ) {
        effects += MembershipEffect.Send(to, message)
    }

    private class Probe(
        val target: Member,
        val startedAt: Instant,
        var isIndirect: Boolean = false,
    )

    private class RelayedProbe(
        val requester: Member,
        val number: Long,
        val startedAt: Instant,
    )

    private companion object {
        val PROBE_PERIOD = 1.seconds
        val DIRECT_PROBE_TIMEOUT = 300.milliseconds
        val PROBE_TIMEOUT = 900.milliseconds
        val SUSPICION_TIMEOUT = 3.seconds
        const val INDIRECT_PROBES = 3
        const val URGENT_FANOUT = 3
        const val URGENT_PER_SECOND = 1.5
        const val URGENT_BURST = 6.0

        // Consecutive failed probes, direct and indirect, after which a region counts as unreachable.
        const val REGION_FAILURE_THRESHOLD = 3

        // Members that are told first; they spread the update further, and it reaches all members in about 2 s.
        const val LEAVE_FANOUT = 24
    }
}
