// Idempotency key: identifies a non-idempotent call, so that a repeat of it is detected.
package org.ragwortlever.core.idempotency

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.ragwortlever.core.error.ErrorKind
import org.ragwortlever.core.error.Refusal
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.Instant

/** Name of the request header that carries an [IdempotencyKey]. */
const val IDEMPOTENCY_KEY_HEADER: String = "Idempotency-Key"

/**
 * Valid idempotency key.
 *
 * @property createdAt timestamp of a version 7 UUID; null for any other key.
 */
data class IdempotencyKey(
    val value: String,
    val createdAt: Instant?,
) {
    /** Returns when the claim of this key may be removed, or null if it must be kept because the key never expires. */
    fun expiry(retention: Duration): Instant? = createdAt?.plus(retention)

    companion object {
        private const val MAXIMUM_LENGTH = 255
        private const val TIME_ORDERED_VERSION = 7
        private const val TIMESTAMP_SHIFT = 16
        private val VISIBLE_ASCII = '!'..'~'

        /** Parses [text]; refuses keys that are empty, longer than 255 characters, or contain blanks, control or non-ASCII characters. */
        fun parse(text: String): Result<IdempotencyKey, Refusal> {
            if (text.length !in 1..MAXIMUM_LENGTH || text.any { it !in VISIBLE_ASCII }) {
                val rule = "must be 1 to $MAXIMUM_LENGTH visible ASCII characters"
                return Err(Refusal(ErrorKind.MALFORMED_REQUEST, "header $IDEMPOTENCY_KEY_HEADER: $rule"))
            }
            return Ok(IdempotencyKey(text, text.timestamp()))
        }

        private fun String.timestamp(): Instant? {
            val uuid = runCatching { UUID.fromString(this) }.getOrNull() ?: return null
            if (!uuid.toString().equals(this, ignoreCase = true) || uuid.version() != TIME_ORDERED_VERSION) return null
            return Instant.fromEpochMilliseconds(uuid.mostSignificantBits ushr TIMESTAMP_SHIFT)
        }
    }
}
