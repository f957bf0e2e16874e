/*
 * Enforces the limits of client accounts on this node. The node that owns an account leases a part of the limits to
 * this node; without a valid lease, this node uses the configured limits divided by the number of live nodes.
 */
package org.ragwortlever.core.admission

import org.ragwortlever.core.configuration.AccountLimit
import org.ragwortlever.core.configuration.ConfigurationDocument
import kotlin.time.Instant

/** Tracks what each client account uses on this node and compares it with the account's limits. Not thread-safe. */
internal class AccountLimits(
    private val liveNodes: () -> Int,
) {
    private val usage = HashMap<String, AccountUsage>()
    private val leasedParts = HashMap<String, Pair<AccountLimit, Instant>>()

    /** Stores the [part] of the limits of [account] that the account's owner leases to this node [until] the given time. */
    fun setLeasedPart(
        account: String,
        part: AccountLimit,
        until: Instant,
    ) {
        leasedParts[account] = part to until
    }

    /** Whole seconds until a request of [cost] expected tokens is within the limits; null if it is within them now. */
    fun secondsUntilAllowed(
        account: String,
        cost: Double,
        document: ConfigurationDocument,
        now: Instant,
    ): Int? {
        val limit = limitOf(account, document, now) ?: return null
        val used = usage[account] ?: return null
        val streams = limit.concurrentStreams
        val waits =
            listOfNotNull(
                limit.requestsPerMinute?.let { used.requests.secondsUntilAtMost(it - 1.0, now) },
                limit.tokensPerMinute?.let { used.secondsUntilTokens(it.toDouble(), cost, now) },
                streams?.let { if (used.openRequests < it) 0 else STREAM_RETRY_SECONDS },
            )
        return waits.maxOrNull()?.takeIf { it > 0 }
    }

    /** Counts an accepted request of [account] with [cost] expected tokens. */
    fun recordAccepted(
        account: String,
        cost: Double,
        now: Instant,
    ) {
        val used = usage.getOrPut(account) { AccountUsage() }
        used.requests.add(1.0, now)
        used.openRequests++
        used.reservedTokens += cost
    }

    /** Counts [tokens] that were generated for [account]. */
    fun addTokens(
        account: String,
        tokens: Int,
        now: Instant,
    ) {
        usage[account]?.tokens?.add(tokens.toDouble(), now)
    }

    /** Counts the end of a request that was accepted with [cost] expected tokens. */
    fun recordEnded(
        account: String,
        cost: Double,
    ) {
        val used = usage[account] ?: return
        used.openRequests--
        used.reservedTokens = if (used.openRequests == 0) 0.0 else used.reservedTokens - cost
    }

    private fun limitOf(
        account: String,
        document: ConfigurationDocument,
        now: Instant,
    ): AccountLimit? {
        val configured = document.limits[document.accounts[account]?.limit ?: return null] ?: return null
        leasedParts[account]?.let { (part, until) -> if (now < until) return part else leasedParts.remove(account) }
        val nodes = liveNodes()
        return AccountLimit(
            requestsPerMinute = configured.requestsPerMinute?.let { maxOf(1, it / nodes) },
            tokensPerMinute = configured.tokensPerMinute?.let { maxOf(1, it / nodes) },
            concurrentStreams = configured.concurrentStreams?.let { maxOf(1, it / nodes) },
        )
    }

    private companion object {
        // The end of a stream can't be predicted; a caller that retries once a second adds little load.
        const val STREAM_RETRY_SECONDS = 1
    }
}

private class AccountUsage {
    val requests = MinuteWindow()
    val tokens = MinuteWindow()
    var openRequests = 0

    /** Expected tokens of all open requests. */
    var reservedTokens = 0.0

    // A single request may exceed the limit on its own; it is allowed when the account has used nothing else.
    fun secondsUntilTokens(
        limit: Double,
        cost: Double,
        now: Instant,
    ): Int {
        if (openRequests > 0 && reservedTokens + cost > limit) return 1
        return tokens.secondsUntilAtMost(maxOf(0.0, limit - reservedTokens - cost), now)
    }
}
