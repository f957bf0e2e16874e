// What the store holds of the configuration: the head record, the sections' shards and the change records.
package org.ragwortlever.core.configuration

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import org.ragwortlever.core.key.sha256Hex
import kotlin.time.Instant

/** The newest accepted revision of the document and of each section. */
@Serializable
data class ConfigurationHead(
    val revision: Long = 0,
    val sections: Map<String, SectionHead> = emptyMap(),
)

/** A section's last change: the document revision that made it, by whom and when. */
@Serializable
data class SectionHead(
    val revision: Long,
    val author: String,
    val time: Instant,
)

/** The change that led to [revision], entry by entry. */
@Serializable
data class ConfigurationChange(
    val revision: Long,
    val author: String,
    val time: Instant,
    val sections: Map<String, SectionChange>,
)

/** Entries of one section that were set, and ids that were removed. */
@Serializable
data class SectionChange(
    val upserts: JsonObject = JsonObject(emptyMap()),
    val removals: List<String> = emptyList(),
)

/** Store keys of the configuration. */
object ConfigurationKeys {
    const val HEAD: String = "/ragwortlever/config/head"
    const val SECTIONS_PREFIX: String = "/ragwortlever/config/sections/"
    const val CHANGES_PREFIX: String = "/ragwortlever/config/changes/"

    /** Zero-padded, so that keys sort by revision. */
    fun change(revision: Long): String = CHANGES_PREFIX + revision.toString().padStart(REVISION_DIGITS, '0')

    fun shard(
        section: String,
        shard: Int,
    ): String = "$SECTIONS_PREFIX$section/$shard"

    private const val REVISION_DIGITS = 19
}

/** The shard of [section] that holds [entryId]; large sections have several, so that no value passes 1 MB. */
fun shardOf(
    section: String,
    entryId: String,
): Int {
    val shards = if (section in LARGE_SECTIONS) LARGE_SECTION_SHARDS else 1
    return sha256Hex(entryId.toByteArray()).substring(0, HASH_DIGITS).toInt(HEXADECIMAL_RADIX) % shards
}

/** The difference from [old] to [new], entry by entry. */
fun diffSection(
    old: Map<String, JsonElement>,
    new: Map<String, JsonElement>,
): SectionChange =
    SectionChange(
        upserts = JsonObject(new.filter { (id, entry) -> old[id] != entry }),
        removals = (old.keys - new.keys).sorted(),
    )

/** Applies [change] to the entries of one section. */
fun Map<String, JsonElement>.applyChange(change: SectionChange): Map<String, JsonElement> = this - change.removals.toSet() + change.upserts

private val LARGE_SECTIONS = setOf("accounts", "keys")
private const val LARGE_SECTION_SHARDS = 16
private const val HASH_DIGITS = 7
private const val HEXADECIMAL_RADIX = 16
