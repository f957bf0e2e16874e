/*
 * Keys of client accounts. A key is a random 256-bit value; the configuration holds only its SHA-256 hash.
 * A plain hash is enough because a random key of this length cannot be guessed from it.
 */
package org.ragwortlever.core.key

import java.security.MessageDigest
import java.util.Base64
import java.util.HexFormat

/** Length of a key's random part, in bytes. */
const val KEY_BYTES: Int = 32

private const val KEY_PREFIX = "rwl_"

/** The SHA-256 hash of [key] in lower-case hexadecimal, as the configuration holds it. */
fun hashKey(key: String): String = sha256Hex(key.toByteArray())

/** Writes the [KEY_BYTES] random bytes [random] as a key. Throws [IllegalArgumentException] on another length. */
fun formatKey(random: ByteArray): String {
    require(random.size == KEY_BYTES) { "a key needs $KEY_BYTES random bytes, not ${random.size}" }
    return KEY_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(random)
}

/** The SHA-256 hash of [content] in lower-case hexadecimal. */
fun sha256Hex(content: ByteArray): String = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content))
