// Usage records in the store: parts that nodes flush, closed and sealed windows, and the reporter's cursor.
package org.ragwortlever.core.usage

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.security.MessageDigest

/**
 * Counts of one node incarnation in one window. Counts are cumulative: a part includes every part with a lower sequence.
 *
 * @property sequence the source's sequence at the last count in this part.
 * @property reported counts of a late part that sealed windows already contain; null until the first correction.
 */
@Serializable
data class UsagePart(
    val sequence: Long,
    val counts: AccountCounts,
    val reported: AccountCounts? = null,
) {
    fun encode(): String = Json.encodeToString(serializer(), this)

    companion object {
        fun decode(text: String): UsagePart = Json.decodeFromString(serializer(), text)
    }
}

/**
 * Sealed totals of [window]. Each window is sealed once and is only ever reported with these totals.
 *
 * @property totals counts by account.
 * @property parts sequence of each part in the totals, by source.
 * @property corrections late counts of earlier windows, by window.
 */
@Serializable
data class SealedWindow(
    val window: String,
    val totals: AccountCounts,
    val parts: Map<String, Long>,
    val corrections: Map<String, AccountCounts> = emptyMap(),
) {
    /** Returns a JSON document with a fixed order of fields and keys, so that a repeated report is identical byte for byte. */
    fun encode(): String =
        Json.encodeToString(
            serializer(),
            copy(
                totals = totals.toSortedMap(),
                parts = parts.toSortedMap(),
                corrections = corrections.mapValues { it.value.toSortedMap() }.toSortedMap(),
            ),
        )

    /** Short digest of the document that [encode] returns, by which log lines show whether two reports are the same. */
    fun digest(): String =
        MessageDigest
            .getInstance("SHA-256")
            .digest(encode().toByteArray())
            .take(DIGEST_BYTES)
            .toByteArray()
            .toHexString()

    companion object {
        private const val DIGEST_BYTES = 4

        fun decode(text: String): SealedWindow = Json.decodeFromString(serializer(), text)
    }
}

/**
 * Names of the last sealed and the last reported window; windows are sealed and reported in order.
 *
 * @property epoch epoch of the store in which the cursor is known to be complete. In a later epoch the store may have lost
 *   windows that were sealed and reported after it.
 */
@Serializable
data class UsageCursor(
    val sealed: String,
    val reported: String,
    val epoch: Long = 0,
) {
    fun encode(): String = Json.encodeToString(serializer(), this)

    companion object {
        fun decode(text: String): UsageCursor = Json.decodeFromString(serializer(), text)
    }
}

/** Store keys of usage records. A source is a node id with its incarnation. */
object UsageKeys {
    const val LEASE: String = "/ragwortlever/leases/usage"
    const val CURSOR: String = "/ragwortlever/usage/cursor"
    const val LATE_PREFIX: String = "/ragwortlever/usage/late/"
    const val SEALED_PREFIX: String = "/ragwortlever/usage/sealed/"

    fun openPrefix(window: String): String = "/ragwortlever/usage/open/$window/"

    fun open(
        window: String,
        source: String,
    ): String = openPrefix(window) + source

    fun late(
        window: String,
        source: String,
    ): String = "$LATE_PREFIX$window/$source"

    /** Key that exists once the window is closed, that is, accepts no more parts. */
    fun closed(window: String): String = "/ragwortlever/usage/closed/$window"

    fun sealed(window: String): String = SEALED_PREFIX + window
}
