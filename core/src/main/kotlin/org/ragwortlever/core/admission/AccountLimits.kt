/*
 * Enforces a client account's limits on this node. The account's owner leases a part of the limits to the node; when
 * that part has expired the node takes the limits divided by the number of live nodes.
 */
package org.ragwortlever.core.admission

import org.ragwortlever.core.configuration.AccountLimit
import org.ragwortlever.core.configuration.ConfigurationDocument
import kotlin.time.Instant

/** The use of limits by the accounts that are active on this node. */
internal class AccountLimits(
    private val liveNodes: () -> Int,
) {
    private val usage = HashMap<String, AccountUsage>()
    private val leasedParts = HashMap<String, Pair<AccountLimit, Instant>>()

    /** Takes over the part of [account]'s limits that its owner leases to this node [until] then. */
    fun setLeasedPart(
        account: String,
        part: AccountLimit,
        until: Instant,
    ) {
        leasedParts[account] = part to until
    }

    /** Seconds after which a request with the expected length [cost] would be within the limits; null when it is now. */
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

    /** Notes that a request of [account] with the expected length [cost] has been accepted. */
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

    fun addTokens(
        account: String,
        tokens: Int,
        now: Instant,
    ) {
        usage[account]?.tokens?.add(tokens.toDouble(), now)
    }

    /** Notes that a request that was opened with [cost] has ended. */
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
        // When a stream ends is not known; a caller that asks each second adds little load.
        const val STREAM_RETRY_SECONDS = 1
    }
}

private class AccountUsage {
    val requests = MinuteWindow()
    val tokens = MinuteWindow()
    var openRequests = 0

    /** Expected tokens of the open requests. */
    var reservedTokens = 0.0

    // A single request may be longer than the limit; it is let through when nothing else has been used.
    fun secondsUntilTokens(
        limit: Double,
        cost: Double,
        now: Instant,
    ): Int {
        if (openRequests > 0 && reservedTokens + cost > limit) return 1
        return tokens.secondsUntilAtMost(maxOf(0.0, limit - reservedTokens - cost), now)
    }
}
