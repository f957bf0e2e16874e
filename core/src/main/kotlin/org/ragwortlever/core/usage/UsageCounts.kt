// Usage counts per account, and the time windows in which they are reported.
package org.ragwortlever.core.usage

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Usage of one account: requests, prompt tokens and generated tokens. */
@Serializable
data class UsageCounts(
    val requests: Long = 0,
    val promptTokens: Long = 0,
    val generatedTokens: Long = 0,
) {
    operator fun plus(other: UsageCounts) =
        UsageCounts(requests + other.requests, promptTokens + other.promptTokens, generatedTokens + other.generatedTokens)

    operator fun minus(other: UsageCounts) =
        UsageCounts(requests - other.requests, promptTokens - other.promptTokens, generatedTokens - other.generatedTokens)
}

/** Usage counts by account id. */
typealias AccountCounts = Map<String, UsageCounts>

/** Adds two sets of counts per account. */
fun AccountCounts.plusCounts(other: AccountCounts): AccountCounts =
    (keys + other.keys).associateWith { (this[it] ?: UsageCounts()) + (other[it] ?: UsageCounts()) }

/** Subtracts [other] per account; accounts without a difference, and accounts that only [other] has, are omitted. */
fun AccountCounts.minusCounts(other: AccountCounts): AccountCounts =
    mapValues { (account, counts) -> counts - (other[account] ?: UsageCounts()) }.filterValues { it != UsageCounts() }

/** Reporting window of [length]. Windows start at whole multiples of their length since the Unix epoch (1970). */
data class UsageWindow(
    val start: Instant,
    val length: Duration = DEFAULT_LENGTH,
) {
    val end: Instant get() = start + length

    /** Start of the window in UTC (ISO 8601); identifies the window in store keys and reports. */
    val name: String get() = start.toString()

    fun next(): UsageWindow = UsageWindow(end, length)

    companion object {
        val DEFAULT_LENGTH: Duration = 60.seconds

        /** Returns the window that contains [now]. */
        fun containing(
            now: Instant,
            length: Duration = DEFAULT_LENGTH,
        ): UsageWindow {
            val milliseconds = now.toEpochMilliseconds()
            return UsageWindow(Instant.fromEpochMilliseconds(milliseconds - milliseconds.mod(length.inWholeMilliseconds)), length)
        }

        /** Returns the window with this [name]; throws [IllegalArgumentException] if it is not an ISO 8601 instant. */
        fun parse(
            name: String,
            length: Duration = DEFAULT_LENGTH,
        ): UsageWindow = UsageWindow(Instant.parse(name), length)
    }
}
