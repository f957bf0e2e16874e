// What is counted of an account's usage, and the windows that it is reported in.
package org.ragwortlever.core.usage

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Usage of one account. */
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

/** Counts by account. */
typealias AccountCounts = Map<String, UsageCounts>

/** Adds two sets of counts account by account. */
fun AccountCounts.plusCounts(other: AccountCounts): AccountCounts =
    (keys + other.keys).associateWith { (this[it] ?: UsageCounts()) + (other[it] ?: UsageCounts()) }

/** What these counts have beyond [other], without accounts that have nothing more. */
fun AccountCounts.minusCounts(other: AccountCounts): AccountCounts =
    mapValues { (account, counts) -> counts - (other[account] ?: UsageCounts()) }.filterValues { it != UsageCounts() }

/** A window of [length], named by its start in UTC; windows begin at whole multiples of their length since 1970. */
data class UsageWindow(
    val start: Instant,
    val length: Duration = DEFAULT_LENGTH,
) {
    val end: Instant get() = start + length

    /** Name in store keys and reports. */
    val name: String get() = start.toString()

    fun next(): UsageWindow = UsageWindow(end, length)

    companion object {
        val DEFAULT_LENGTH: Duration = 60.seconds

        fun containing(
            now: Instant,
            length: Duration = DEFAULT_LENGTH,
        ): UsageWindow {
            val milliseconds = now.toEpochMilliseconds()
            return UsageWindow(Instant.fromEpochMilliseconds(milliseconds - milliseconds.mod(length.inWholeMilliseconds)), length)
        }

        fun parse(
            name: String,
            length: Duration = DEFAULT_LENGTH,
        ): UsageWindow = UsageWindow(Instant.parse(name), length)
    }
}
