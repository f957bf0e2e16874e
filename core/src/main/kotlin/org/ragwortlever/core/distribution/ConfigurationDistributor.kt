/*
 * Spreads configuration changes over the nodes. Two nodes of each availability zone watch the head in the store; a
 * change goes from node to node as a delta, and every node asks a watcher of its zone for what it has missed.
 */
package org.ragwortlever.core.distribution

import org.ragwortlever.core.membership.Peer
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** One node's part in spreading the configuration. Not thread-safe: the control thread owns it. */
class ConfigurationDistributor(
    private val self: Peer,
    private val random: Random,
) {
    private val copy = ConfigurationCopy()
    private val freshness = Freshness(self)
    private val effects = ArrayList<DistributionEffect>()
    private val questions = Questions(self, random, ::send)
    private val calls = StoreCalls(random) { effects += DistributionEffect.Call(it, copy.revision) }
    private var readHeadAgain = false
    private var wantedRevision = 0L
    private val startDocuments = HashMap<String, DistributionMessage.Document>()

    val revision: Long get() = copy.revision

    /** Whether keys and zones of the copy may be relied on. */
    fun isTrusted(now: Instant): Boolean = copy.revision > 0 && freshness.isTrusted(now)

    /** Age of the newest proof that the copy is the newest one. */
    fun proofAge(now: Instant): Duration? = freshness.proofAge(now)

    fun handle(
        event: DistributionEvent,
        now: Instant,
    ): List<DistributionEffect> {
        when (event) {
            is DistributionEvent.MembersChanged -> membersChanged(event)
            is DistributionEvent.Received -> received(event.from, event.message, now)
            is DistributionEvent.Accepted -> apply(listOf(event.change), passOn = true)
            DistributionEvent.HeadChanged -> headChanged(now)
            is DistributionEvent.HeadRead -> headRead(event, now)
            is DistributionEvent.ChangesRead -> changesRead(event, now)
            is DistributionEvent.SectionsRead -> sectionsRead(event)
            is DistributionEvent.StoreFailed -> storeFailed(event.call, now)
            DistributionEvent.Tick -> Unit
        }
        tick(now)
        return effects.toList().also { effects.clear() }
    }

    private fun membersChanged(event: DistributionEvent.MembersChanged) {
        val watched = questions.isWatcher
        questions.membersChanged(event.live)
        freshness.expect(event.known)
        if (questions.isWatcher != watched) effects += DistributionEffect.Watch(questions.isWatcher)
    }

    private fun received(
        from: String,
        message: DistributionMessage,
        now: Instant,
    ) {
        when (message) {
            is DistributionMessage.Ask -> answer(from, message, now)
            is DistributionMessage.Answer -> answered(from, message)
            is DistributionMessage.Push -> pushed(from, message)
            is DistributionMessage.Fetch -> copy.changesAfter(message.after)?.let { send(from, DistributionMessage.Changes(it)) }
            is DistributionMessage.Changes -> apply(message.changes, passOn = false)
            DistributionMessage.FetchDocument -> send(from, DistributionMessage.Document(copy.revision, copy.text()))
            is DistributionMessage.Document -> documentReceived(from, message)
        }
    }

    private fun answer(
        from: String,
        ask: DistributionMessage.Ask,
        now: Instant,
    ) {
        val zones = freshness.zoneAges(now).filterValues { it <= Freshness.TRUST_LIMIT }.mapValues { it.value.inWholeMilliseconds + 1 }
        val proof = freshness.proofAge(now)?.let { it.inWholeMilliseconds + 1 }
        send(from, DistributionMessage.Answer(ask.number, copy.revision, proof, zones))
        if (ask.revision > copy.revision) send(from, DistributionMessage.Fetch(copy.revision))
    }

    private fun answered(
        from: String,
        answer: DistributionMessage.Answer,
    ) {
        val asked = questions.answered(from, answer.number) ?: return
        freshness.answered(answer, asked, copy.revision)
        if (copy.revision == 0L || answer.revision <= copy.revision) return
        if (answer.revision - copy.revision > ConfigurationCopy.CHANGES_KEPT) {
            wantedRevision = maxOf(wantedRevision, answer.revision)
        } else {
            send(from, DistributionMessage.Fetch(copy.revision))
        }
    }

    private fun pushed(
        from: String,
        push: DistributionMessage.Push,
    ) {
        if (copy.revision == 0L || push.change.revision <= copy.revision) return
        if (push.change.revision > copy.revision + 1) send(from, DistributionMessage.Fetch(copy.revision))
        apply(listOf(push.change), passOn = true)
    }

    private fun headChanged(now: Instant) {
        // A read that is under way may have missed the change.
        readHeadAgain = calls.isRunning(StoreCall.READ_HEAD)
        calls.readHead(now, copy.revision)
    }

    private fun headRead(
        event: DistributionEvent.HeadRead,
        now: Instant,
    ) {
        val startedAt = calls.ended(StoreCall.READ_HEAD)?.revision ?: copy.revision
        // A read that shows less than this copy had when it started comes from a stale replica and proves nothing.
        if (event.revision < startedAt) return
        freshness.headRead(event.revision, event.started, copy.revision)
        wantedRevision = maxOf(wantedRevision, event.revision)
        if (readHeadAgain) headChanged(now)
        catchUp(now)
    }

    private fun catchUp(now: Instant) {
        if (wantedRevision <= copy.revision) return
        if (copy.revision == 0L || wantedRevision - copy.revision > ConfigurationCopy.CHANGES_KEPT) {
            calls.readSections(now, copy.revision)
        } else {
            calls.readChanges(now, copy.revision)
        }
    }

    private fun changesRead(
        event: DistributionEvent.ChangesRead,
        now: Instant,
    ) {
        calls.ended(StoreCall.READ_CHANGES)
        apply(event.changes, passOn = true)
        // The missing change records have been removed from the store.
        if (wantedRevision > copy.revision) calls.readSections(now, copy.revision)
    }

    private fun sectionsRead(event: DistributionEvent.SectionsRead) {
        calls.ended(StoreCall.READ_SECTIONS)
        if (copy.install(event.revision, event.sections)) inForce()
        freshness.headRead(event.revision, event.started, copy.revision)
    }

    private fun storeFailed(
        call: StoreCall,
        now: Instant,
    ) {
        val started = calls.ended(call)
        if (call == StoreCall.READ_HEAD && started != null) {
            freshness.storeFailed(started.time)
            if (questions.isWatcher) questions.askOtherZones(now, copy.revision)
        }
        if (call != StoreCall.READ_SECTIONS || copy.revision > 0) return
        startDocuments.clear()
        questions.peers.shuffled(random).take(START_PEERS).forEach { send(it, DistributionMessage.FetchDocument) }
    }

    private fun documentReceived(
        from: String,
        document: DistributionMessage.Document,
    ) {
        if (copy.revision > 0) return
        startDocuments[from] = document
        val newest = startDocuments.values.maxBy { it.revision }
        if (startDocuments.size < minOf(START_PEERS, questions.peers.size) || newest.revision == 0L) return
        if (copy.install(newest.revision, ConfigurationCopy.sectionsOf(newest.text))) inForce()
    }

    private fun apply(
        changes: List<EncodedChange>,
        passOn: Boolean,
    ) {
        if (copy.revision == 0L) return
        val applied = copy.add(changes)
        if (applied.isEmpty()) return
        inForce()
        if (!passOn) return
        val receivers = questions.peers.shuffled(random).take(PUSH_FANOUT)
        applied.forEach { change -> receivers.forEach { send(it, DistributionMessage.Push(change)) } }
    }

    private fun inForce() {
        freshness.advanced(copy.revision)
        effects += DistributionEffect.InForce(copy.revision, copy.sections)
    }

    private fun tick(now: Instant) {
        if (copy.revision == 0L) calls.readSections(now, copy.revision)
        catchUp(now)
        calls.readHeadWhenDue(now, copy.revision, questions.isWatcher, freshness.proofAge(now))
        val isProved = freshness.proofAge(now)?.let { it <= QUIET_PROOF } == true
        questions.askWhenDue(now, copy.revision, isSettled = isProved || freshness.hearsMostZones(now))
        if (questions.isWatcher && !isProved) questions.askOtherZones(now, copy.revision)
    }

    private fun send(
        to: String,
        message: DistributionMessage,
    ) {
        effects += DistributionEffect.Send(to, message)
    }

    private companion object {
        const val PUSH_FANOUT = 4
        const val START_PEERS = 3

        // The age of a proof that was not renewed when due: a question period, a read period and a late answer.
        val QUIET_PROOF = 2600.milliseconds
    }
}
