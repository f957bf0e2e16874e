/*
 * How fresh this node's copy is proved to be. Ages add up along the nodes that a proof passes, and each node counts
 * the way to it from the moment it asked, so that neither delay nor a pause can make a proof look younger.
 */
package org.ragwortlever.core.distribution

import org.ragwortlever.core.membership.Peer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Proofs of one node's copy. */
internal class Freshness(
    private val self: Peer,
) {
    private val zoneHeard = HashMap<String, Instant>()
    private val waiting = ArrayDeque<Evidence>()
    private var zonesByRegion: Map<String, Set<String>> = mapOf(self.region to setOf(self.zone))
    private var aloneInZone = true
    private var provedAt: Instant? = null
    private var storeFailedAt: Instant? = null

    /** The members that have to be heard while the store is silent. */
    fun expect(known: List<Peer>) {
        zonesByRegion = (known + self).groupBy { it.region }.mapValues { (_, peers) -> peers.map { it.zone }.toSet() }
        aloneInZone = known.none { it.zone == self.zone && it.id != self.id }
    }

    /** A read of the head that [started] then showed [revision]. */
    fun headRead(
        revision: Long,
        started: Instant,
        ownRevision: Long,
    ) = add(Evidence(revision, started, emptyMap()), ownRevision)

    /**
     * A read of the head that [started] then failed. Only such a node speaks for its zone: one that has just woken up
     * may be able to reach the store and not know it.
     */
    fun storeFailed(started: Instant) {
        storeFailedAt = maxOf(started, storeFailedAt ?: started)
    }

    /** [answer] is the reply to a question that was asked at [asked]. */
    fun answered(
        answer: DistributionMessage.Answer,
        asked: Instant,
        ownRevision: Long,
    ) {
        val heard = answer.zoneAges.mapValues { asked - it.value.milliseconds }
        add(Evidence(answer.revision, answer.proofAge?.let { asked - it.milliseconds }, heard), ownRevision)
    }

    /** Counts the evidence that had to wait until the copy reached its revision. */
    fun advanced(ownRevision: Long) {
        waiting.filter { it.revision <= ownRevision }.forEach(::count)
        waiting.removeAll { it.revision <= ownRevision }
    }

    fun proofAge(now: Instant): Duration? = provedAt?.let { now - it }

    /** Age of the newest word from each zone that it cannot reach the store. */
    fun zoneAges(now: Instant): Map<String, Duration> {
        val own = listOfNotNull(storeFailedAt, zoneHeard[self.zone]).maxOrNull()
        return (zoneHeard + listOfNotNull(own?.let { self.zone to it })).mapValues { now - it.value }
    }

    /**
     * Whether no change that was accepted more than [TRUST_LIMIT] ago can be missing. Without a proof this holds while
     * most zones of every region are heard and none of them has one either: then the store is down for all.
     */
    fun isTrusted(now: Instant): Boolean {
        if (proofAge(now)?.let { it <= TRUST_LIMIT } == true) return true
        return hearsMostZones(now)
    }

    /** Whether most zones of every region said within [TRUST_LIMIT] that they cannot reach the store. */
    fun hearsMostZones(now: Instant): Boolean =
        zonesByRegion.values.all { zones -> 2 * zones.count { isHeard(it, now) } > zones.size }

    private fun isHeard(
        zone: String,
        now: Instant,
    ): Boolean {
        val heard = if (zone == self.zone && aloneInZone) storeFailedAt else zoneHeard[zone]
        return heard?.let { now - it <= TRUST_LIMIT } == true
    }

    private fun add(
        evidence: Evidence,
        ownRevision: Long,
    ) {
        if (evidence.revision <= ownRevision) return count(evidence)
        waiting.addLast(evidence)
        if (waiting.size > WAITING_KEPT) waiting.removeFirst()
    }

    private fun count(evidence: Evidence) {
        evidence.provedAt?.let { newer -> provedAt = maxOf(newer, provedAt ?: newer) }
        evidence.zones.forEach { (zone, time) -> zoneHeard[zone] = maxOf(time, zoneHeard[zone] ?: time) }
    }

    private class Evidence(
        val revision: Long,
        val provedAt: Instant?,
        val zones: Map<String, Instant>,
    )

    companion object {
        /** Bounds how long a withdrawn key can still be accepted, so it is the time that H3 and H7 allow. */
        val TRUST_LIMIT = 5.seconds
        private const val WAITING_KEPT = 8
    }
}
