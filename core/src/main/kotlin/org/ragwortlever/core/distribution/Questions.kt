// The questions of a node to others about their revision and the freshness of their copies.
package org.ragwortlever.core.distribution

import org.ragwortlever.core.membership.Peer
import org.ragwortlever.core.membership.rendezvousOrder
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Asks the watchers of the own zone in turn, and those of the other zones while the store is silent. */
internal class Questions(
    private val self: Peer,
    private val random: Random,
    private val send: (to: String, message: DistributionMessage) -> Unit,
) {
    private val pending = HashMap<Long, Question>()
    private var watchers: Map<String, List<String>> = emptyMap()
    private var lastNumber = 0L
    private var nextQuestion = Instant.DISTANT_PAST
    private var nextZoneQuestions = Instant.DISTANT_PAST

    /** The other nodes that are live. */
    var peers: Set<String> = emptySet()
        private set

    /** Whether this node is one of the watchers of its zone. */
    val isWatcher: Boolean get() = self.id in watchers[self.zone].orEmpty()

    fun membersChanged(live: List<Peer>) {
        peers = live.map { it.id }.toSet() - self.id
        watchers =
            (live + self).distinctBy { it.id }.groupBy { it.zone }.mapValues { (zone, members) ->
                rendezvousOrder("watch $zone", members.map { it.id }).take(WATCHERS_PER_ZONE)
            }
    }

    /** When the question was asked that [from] answers as [number]; null when it is not awaited. */
    fun answered(
        from: String,
        number: Long,
    ): Instant? = pending.remove(number)?.takeIf { it.to == from }?.asked

    /** Asks what is due for a copy of [revision]; more often until it [isSettled] how fresh the copy is. */
    fun askWhenDue(
        now: Instant,
        revision: Long,
        isSettled: Boolean,
    ) {
        val late = pending.filterValues { now - it.asked >= ANSWER_WAIT }
        pending.keys.removeAll(late.keys)
        late.values.filter { it.attempt in 1 until ATTEMPTS }.forEach { askWatcher(now, revision, it.attempt + 1) }
        if (now < nextQuestion) return
        nextQuestion = now + (if (isSettled) QUESTION_PERIOD else EARLY_QUESTION_PERIOD) * random.nextDouble(0.9, 1.0)
        if (!isWatcher || revision == 0L) askWatcher(now, revision, attempt = 1) else askZone(self.zone, now, revision)
    }

    fun askOtherZones(
        now: Instant,
        revision: Long,
    ) {
        if (now < nextZoneQuestions) return
        nextZoneQuestions = now + ZONE_QUESTION_PERIOD
        watchers.keys.filter { it != self.zone }.forEach { askZone(it, now, revision) }
    }

    private fun askWatcher(
        now: Instant,
        revision: Long,
        attempt: Int,
    ) {
        val choices = watchers[self.zone].orEmpty().filter { it in peers }
        val to = if (attempt == ATTEMPTS || choices.isEmpty()) peers.randomOrNull(random) else choices.random(random)
        to?.let { ask(it, now, revision, attempt) }
    }

    private fun askZone(
        zone: String,
        now: Instant,
        revision: Long,
    ) {
        watchers[zone].orEmpty().filter { it in peers }.randomOrNull(random)?.let { ask(it, now, revision, attempt = 0) }
    }

    private fun ask(
        to: String,
        now: Instant,
        revision: Long,
        attempt: Int,
    ) {
        val number = ++lastNumber
        pending[number] = Question(to, now, attempt)
        send(to, DistributionMessage.Ask(number, revision))
    }

    /** [attempt] counts questions to the zone's watchers; 0 is not repeated. */
    private class Question(
        val to: String,
        val asked: Instant,
        val attempt: Int,
    )

    private companion object {
        const val WATCHERS_PER_ZONE = 2
        const val ATTEMPTS = 3
        val QUESTION_PERIOD = 2.seconds
        val ZONE_QUESTION_PERIOD = 1.seconds
        val ANSWER_WAIT = 400.milliseconds

        // Until enough zones are heard, so that a node learns of an outage before its last proof expires.
        val EARLY_QUESTION_PERIOD = 700.milliseconds
    }
}
