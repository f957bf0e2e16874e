/*
 * Waiting requests of one class and model. Accounts share by weighted deficit round-robin over tokens served: an
 * account is charged the expected length of an answer at its start, and the difference once the length is known.
 */
package org.ragwortlever.core.admission

import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** The queue of one lane; with [fair] false all accounts share one queue in order of arrival. */
internal class FairQueue(
    private val fair: Boolean = true,
) {
    private val accounts = HashMap<String, AccountQueue>()
    private val ring = ArrayDeque<AccountQueue>()
    private val index = BacklogIndex()
    private val costs = DecayedStatistics()
    private val accepted = DecayedRate(ACCEPTED_WINDOW)

    // Accounts with an accepted request in the last seconds, the one that has been idle longest first.
    private val recentAccounts = LinkedHashSet<AccountQueue>()
    private var recentWeight = 0.0

    // Tokens served per unit of active weight since the start; tells how much of its debt an idle account has sat out.
    private var servedPerWeight = 0.0
    private var ringWeight = 0.0
    private var smallestWeight = Double.MAX_VALUE

    /** Number of waiting requests. */
    var size = 0
        private set

    /** Expected tokens of all waiting requests. */
    var backlog = 0.0
        private set

    /** Accounts with waiting requests. */
    val activeAccounts: Int get() = ring.size

    /** Expected tokens of one waiting request. */
    val meanCost: Double get() = if (size == 0) costs.mean else backlog / size

    fun add(
        waiting: WaitingRequest,
        weight: Double,
    ) {
        val account = queueOf(waiting.request.account)
        if (!account.isInRing) addToRing(account, weight)
        account.requests.addLast(waiting)
        account.accepted.add(waiting.cost, waiting.arrival)
        accepted.add(waiting.cost, waiting.arrival)
        recordRecent(account, weight, waiting.arrival)
        costs.learn(waiting.cost)
        changeBacklog(account, waiting.cost)
        size++
    }

    /** Takes the next request in the order of service, or null when none waits. */
    fun poll(): WaitingRequest? {
        while (ring.isNotEmpty()) {
            val account = ring.first()
            account.dropNotWaiting()
            val next = account.requests.firstOrNull()
            if (next == null) {
                removeFromRing(account)
                continue
            }
            if (ring.size > 1 && account.deficit <= 0) {
                account.deficit += quantum(account)
                ring.addLast(ring.removeFirst())
                continue
            }
            account.requests.removeFirst()
            dequeue(account, next)
            return next
        }
        return null
    }

    /** Takes [waiting] out; the caller has marked it as no longer waiting. */
    fun remove(waiting: WaitingRequest) {
        changeBacklog(queueOf(waiting.request.account), -waiting.cost)
        size--
    }

    /** Charges [account] the difference between the [actual] and the [charged] length of an answer. */
    fun settleCost(
        account: String,
        charged: Double,
        actual: Double,
    ) {
        val queue = accounts[key(account)] ?: return
        queue.deficit = (queue.deficit + charged - actual).coerceAtLeast(-MAXIMUM_DEBT_QUANTA * quantum(queue))
    }

    /** Tokens that are served before a new request of [account] with the expected length [cost]. */
    fun tokensAhead(
        account: String,
        cost: Double,
        weight: Double,
    ): Double {
        if (size == 0) return 0.0
        val own = accounts[key(account)]
        // Only others that go first in the same way can be ahead of it; one request stands for them.
        if (fair && own?.isInRing == false && hasSkippedRound(own, weight)) return costs.mean
        val ownBacklog = own?.backlog ?: 0.0
        return tokensAheadAt(ownBacklog, cost, own?.takeIf { it.isInRing }?.weight ?: weight)
    }

    /** Expected tokens of the waiting requests of [account]. */
    fun backlogOf(account: String): Double = accounts[key(account)]?.backlog ?: 0.0

    /** The part of the service that [account] is sure of while the accounts that sent work lately go on sending. */
    fun guaranteedFraction(
        account: String,
        weight: Double,
        now: Instant,
    ): Double {
        if (!fair) return 1.0
        while (recentAccounts.isNotEmpty() && recentAccounts.first().lastAccepted < now - ACCEPTED_WINDOW) {
            val idle = recentAccounts.first()
            recentAccounts.remove(idle)
            recentWeight = if (recentAccounts.isEmpty()) 0.0 else recentWeight - idle.recentWeight
        }
        return weight / (recentWeight + if (accounts[account] in recentAccounts) 0.0 else weight)
    }

    /** Tokens accepted per second for accounts other than [account]. */
    fun acceptedTokensPerSecondOfOthers(
        account: String,
        now: Instant,
    ): Double = if (!fair) {
        0.0
    } else {
        maxOf(
            0.0,
            accepted.perSecondSinceFirst(now) - (accounts[account]?.accepted?.perSecondSinceFirst(now) ?: 0.0),
        )
    }

    /** Tokens that are served before a request of length [cost] with [ownBacklog] of its account before it. */
    fun tokensAheadAt(
        ownBacklog: Double,
        cost: Double,
        weight: Double,
    ): Double {
        if (!fair) return ownBacklog
        return index.servedWithin((ownBacklog + cost) / weight).coerceIn(minOf(ownBacklog, backlog), backlog)
    }

    /** The waiting requests of each account in order, with the account's weight. Walks the whole queue. */
    fun listByAccount(): List<Pair<Double, List<WaitingRequest>>> =
        ring.map { account -> account.weight to account.requests.filter { it.isWaiting } }

    private fun recordRecent(
        account: AccountQueue,
        weight: Double,
        now: Instant,
    ) {
        if (recentAccounts.remove(account)) recentWeight -= account.recentWeight
        recentAccounts.add(account)
        account.recentWeight = weight
        account.lastAccepted = now
        recentWeight += weight
    }

    private fun dequeue(
        account: AccountQueue,
        next: WaitingRequest,
    ) {
        changeBacklog(account, -next.cost)
        size--
        // An account that is alone takes share that nobody else asks for, so nothing is charged.
        account.deficit = if (ring.size == 1) 0.0 else account.deficit - next.cost
        servedPerWeight += next.cost / ringWeight
        account.dropNotWaiting()
        if (account.requests.isEmpty()) removeFromRing(account)
    }

    private fun addToRing(
        account: AccountQueue,
        weight: Double,
    ) {
        account.weight = weight
        smallestWeight = minOf(smallestWeight, weight)
        val skippedTokens = (servedPerWeight - account.servedPerWeightAtExit) * weight
        val first = hasSkippedRound(account, weight)
        account.deficit = minOf(0.0, account.deficit + skippedTokens) + quantum(account)
        account.isInRing = true
        ringWeight += weight
        if (first) ring.addFirst(account) else ring.addLast(account)
    }

    /*
     * An account that has left out a whole round goes first once. Otherwise a burst of another account would make
     * each of its rare requests wait for a round, which short waits do not allow.
     */
    private fun hasSkippedRound(
        account: AccountQueue,
        weight: Double,
    ): Boolean =
        account.deficit + (servedPerWeight - account.servedPerWeightAtExit) * weight >=
            maxOf(costs.mean, 1.0) * weight / minOf(weight, smallestWeight)

    private fun removeFromRing(account: AccountQueue) {
        ring.remove(account)
        account.isInRing = false
        index.remove(account.backlog, account.weight)
        account.backlog = 0.0
        account.servedPerWeightAtExit = servedPerWeight
        ringWeight = if (ring.isEmpty()) 0.0 else ringWeight - account.weight
    }

    private fun changeBacklog(
        account: AccountQueue,
        change: Double,
    ) {
        index.remove(account.backlog, account.weight)
        account.backlog = (account.backlog + change).coerceAtLeast(0.0)
        // Starting again from zero keeps rounding errors from adding up.
        backlog = if (ring.isEmpty()) 0.0 else (backlog + change).coerceAtLeast(0.0)
        index.add(account.backlog, account.weight)
    }

    // One mean request for the account with the smallest weight, so that a visit seldom ends without service.
    private fun quantum(account: AccountQueue): Double = maxOf(costs.mean, 1.0) * account.weight / smallestWeight

    private fun queueOf(account: String): AccountQueue = accounts.getOrPut(key(account)) { AccountQueue() }

    private fun key(account: String): String = if (fair) account else ""

    private companion object {
        // Bounds how many visits an account with one very long answer is passed over.
        const val MAXIMUM_DEBT_QUANTA = 20
    }
}

private class AccountQueue {
    val requests = ArrayDeque<WaitingRequest>()
    var weight = 1.0
    var deficit = 0.0
    var backlog = 0.0
    var servedPerWeightAtExit = 0.0
    var isInRing = false
    val accepted = DecayedRate(ACCEPTED_WINDOW)
    var lastAccepted: Instant = Instant.DISTANT_PAST
    var recentWeight = 0.0

    fun dropNotWaiting() {
        while (requests.isNotEmpty() && !requests.first().isWaiting) requests.removeFirst()
    }
}

private val ACCEPTED_WINDOW = 10.seconds
