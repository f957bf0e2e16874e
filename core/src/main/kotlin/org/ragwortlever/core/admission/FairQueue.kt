/*
 * Waiting requests of one class and model. Accounts share the service by weighted deficit round-robin over tokens: an
 * account is charged the expected length of an answer when it starts, and the difference once the length is known.
 */
package org.ragwortlever.core.admission

import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Queue of one lane. With [fair] false, all accounts share one queue in order of arrival. Not thread-safe. */
internal class FairQueue(
    private val fair: Boolean = true,
) {
    private val accounts = HashMap<String, AccountQueue>()
    private val ring = ArrayDeque<AccountQueue>()
    private val index = BacklogIndex()
    private val costs = DecayedStatistics()
    private val accepted = DecayedRate(ACCEPTED_WINDOW)

    // Accounts with an accepted request within ACCEPTED_WINDOW, the longest idle first.
    private val recentAccounts = LinkedHashSet<AccountQueue>()
    private var recentWeight = 0.0

    // Tokens served per unit of active weight since the start. Gives the debt that is forgiven to an idle account.
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

    /** Mean expected tokens of a waiting request; of all past requests when none waits. */
    val meanCost: Double get() = if (size == 0) costs.mean else backlog / size

    /** Appends [waiting] to the requests of its account, which has [weight]. */
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

    /** Removes and returns the next request in the order of service; null if none waits. */
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

    /** Removes [waiting]. The caller must have set its isWaiting to false. */
    fun remove(waiting: WaitingRequest) {
        changeBacklog(queueOf(waiting.request.account), -waiting.cost)
        size--
    }

    /** Charges [account] the difference between the [actual] length of an answer and the [charged] one, in tokens. */
    fun settleCost(
        account: String,
        charged: Double,
        actual: Double,
    ) {
        val queue = accounts[key(account)] ?: return
        queue.deficit = (queue.deficit + charged - actual).coerceAtLeast(-MAXIMUM_DEBT_QUANTA * quantum(queue))
    }

    /** Tokens that are served before a new request of [account] with [cost] expected tokens. */
    fun tokensAhead(
        account: String,
        cost: Double,
        weight: Double,
    ): Double {
        if (size == 0) return 0.0
        val own = accounts[key(account)]
        // Such a request goes to the front. Only accounts that did the same can be ahead of it; one mean request stands for them.
        if (fair && own?.isInRing == false && hasSkippedRound(own, weight)) return costs.mean
        val ownBacklog = own?.backlog ?: 0.0
        return tokensAheadAt(ownBacklog, cost, own?.takeIf { it.isInRing }?.weight ?: weight)
    }

    /** Expected tokens of the waiting requests of [account]. */
    fun backlogOf(account: String): Double = accounts[key(account)]?.backlog ?: 0.0

    /** Fraction of the service that [account] gets at least while all recently active accounts keep sending. */
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

    /** Expected tokens accepted per second for accounts other than [account]. */
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

    /** Tokens that are served before a request of [cost] tokens when its account has [ownBacklog] tokens ahead of it. */
    fun tokensAheadAt(
        ownBacklog: Double,
        cost: Double,
        weight: Double,
    ): Double {
        if (!fair) return ownBacklog
        return index.servedWithin((ownBacklog + cost) / weight).coerceIn(minOf(ownBacklog, backlog), backlog)
    }

    /** Weight and waiting requests of each account, in order of arrival. Iterates over the whole queue. */
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
        // A single active account takes service that no other account needs, so it isn't charged.
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
        val skippedTokens = (servedPerWeight - account.servedAtExit) * weight
        val first = hasSkippedRound(account, weight)
        account.deficit = minOf(0.0, account.deficit + skippedTokens) + quantum(account)
        account.isInRing = true
        ringWeight += weight
        if (first) ring.addFirst(account) else ring.addLast(account)
    }

    /*
     * An account that was idle for a whole round goes to the front once. Otherwise each of its rare requests would wait
     * for a round during a burst of another account, which exceeds short wait limits.
     */
    private fun hasSkippedRound(
        account: AccountQueue,
        weight: Double,
    ): Boolean =
        account.deficit + (servedPerWeight - account.servedAtExit) * weight >=
            maxOf(costs.mean, 1.0) * weight / minOf(weight, smallestWeight)

    private fun removeFromRing(account: AccountQueue) {
        ring.remove(account)
        account.isInRing = false
        index.remove(account.backlog, account.weight)
        account.backlog = 0.0
        account.servedAtExit = servedPerWeight
        ringWeight = if (ring.isEmpty()) 0.0 else ringWeight - account.weight
    }

    private fun changeBacklog(
        account: AccountQueue,
        change: Double,
    ) {
        index.remove(account.backlog, account.weight)
        account.backlog = (account.backlog + change).coerceAtLeast(0.0)
        // Reset to zero when no account is active, so that rounding errors don't accumulate.
        backlog = if (ring.isEmpty()) 0.0 else (backlog + change).coerceAtLeast(0.0)
        index.add(account.backlog, account.weight)
    }

    // One mean request for the account with the smallest weight, so that most visits of the round-robin serve a request.
    private fun quantum(account: AccountQueue): Double = maxOf(costs.mean, 1.0) * account.weight / smallestWeight

    private fun queueOf(account: String): AccountQueue = accounts.getOrPut(key(account)) { AccountQueue() }

    private fun key(account: String): String = if (fair) account else ""

    private companion object {
        // Limits how many visits skip an account after one very long answer.
        const val MAXIMUM_DEBT_QUANTA = 20
    }
}

private class AccountQueue {
    val requests = ArrayDeque<WaitingRequest>()
    var weight = 1.0

    /** Tokens that the account may still be served in this round; negative when it has been served more. */
    var deficit = 0.0
    var backlog = 0.0

    /** Tokens served per unit of weight when the account last left the ring. */
    var servedAtExit = 0.0
    var isInRing = false
    val accepted = DecayedRate(ACCEPTED_WINDOW)
    var lastAccepted: Instant = Instant.DISTANT_PAST
    var recentWeight = 0.0

    fun dropNotWaiting() {
        while (requests.isNotEmpty() && !requests.first().isWaiting) requests.removeFirst()
    }
}

private val ACCEPTED_WINDOW = 10.seconds
