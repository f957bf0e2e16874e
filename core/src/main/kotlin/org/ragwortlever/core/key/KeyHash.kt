/*
 * API keys of client accounts. A key is a random 256-bit value, and the configuration holds only its SHA-256 hash. The
 * hash needs neither salt nor many rounds, because a random key of this length can't be guessed from it.
 */
package org.ragwortlever.core.key

import java.security.MessageDigest
import java.util.Base64
import java.util.HexFormat

/** Length of the random part of a key, in bytes. */
const val KEY_BYTES: Int = 32

private const val KEY_PREFIX = "rwl_"

/** Returns the SHA-256 hash of [key] in lower-case hexadecimal, as the configuration holds it. */
fun hashKey(key: String): String = sha256Hex(key.toByteArray())

/**
 * Formats random bytes as a key.
 *
 * @throws IllegalArgumentException if [random] does not have [KEY_BYTES] bytes.
 */
fun formatKey(random: ByteArray): String {
    require(random.size == KEY_BYTES) { "a key needs $KEY_BYTES random bytes, not ${random.size}" }
    return KEY_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(random)
}

/** Returns the SHA-256 hash of [content] in lower-case hexadecimal. */
fun sha256Hex(content: ByteArray): String = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content))
