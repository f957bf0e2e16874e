// Records of the configuration in the store: the head, the shards of the sections and the changes.
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

/** The last change of a section: its document revision, author and time. */
@Serializable
data class SectionHead(
    val revision: Long,
    val author: String,
    val time: Instant,
)

/** The change from the previous revision to [revision], by section. */
@Serializable
data class ConfigurationChange(
    val revision: Long,
    val author: String,
    val time: Instant,
    val sections: Map<String, SectionChange>,
)

/** Change of one section: entries that were added or replaced, and ids of removed entries. */
@Serializable
data class SectionChange(
    val upserts: JsonObject = JsonObject(emptyMap()),
    val removals: List<String> = emptyList(),
)

/** Store keys of the configuration. */
object ConfigurationKeys {
    /** Key of the [ConfigurationHead]. */
    const val HEAD: String = "/ragwortlever/config/head"

    /** Prefix of the keys of all shards of all sections. */
    const val SECTIONS_PREFIX: String = "/ragwortlever/config/sections/"

    /** Prefix of the keys of all [ConfigurationChange] records. */
    const val CHANGES_PREFIX: String = "/ragwortlever/config/changes/"

    /** Returns the key of the change to [revision], zero-padded so that keys sort by revision. */
    fun change(revision: Long): String = CHANGES_PREFIX + revision.toString().padStart(REVISION_DIGITS, '0')

    /** Returns the key of one shard of [section]. */
    fun shard(
        section: String,
        shard: Int,
    ): String = "$SECTIONS_PREFIX$section/$shard"

    private const val REVISION_DIGITS = 19
}

/** Returns the shard of [section] that holds [entryId]. Large sections have several, so that no value exceeds 1 MB. */
fun shardOf(
    section: String,
    entryId: String,
): Int {
    val shards = if (section in LARGE_SECTIONS) LARGE_SECTION_SHARDS else 1
    return sha256Hex(entryId.toByteArray()).substring(0, HASH_DIGITS).toInt(HEXADECIMAL_RADIX) % shards
}

/** Returns the change from the entries [old] of a section to [new]. */
fun diffSection(
    old: Map<String, JsonElement>,
    new: Map<String, JsonElement>,
): SectionChange =
    SectionChange(
        upserts = JsonObject(new.filter { (id, entry) -> old[id] != entry }),
        removals = (old.keys - new.keys).sorted(),
    )

/** Returns the entries of one section after [change]. */
fun Map<String, JsonElement>.applyChange(change: SectionChange): Map<String, JsonElement> = this - change.removals.toSet() + change.upserts

private val LARGE_SECTIONS = setOf("accounts", "keys")
private const val LARGE_SECTION_SHARDS = 16
private const val HASH_DIGITS = 7
private const val HEXADECIMAL_RADIX = 16
