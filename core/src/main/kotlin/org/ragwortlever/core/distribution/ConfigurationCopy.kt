// This node's copy of the configuration. Its revision only grows.
package org.ragwortlever.core.distribution

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import org.ragwortlever.core.configuration.ConfigurationChange
import org.ragwortlever.core.configuration.applyChange
import java.util.TreeMap

/** The document at one revision, with the latest changes for nodes that lack them. */
internal class ConfigurationCopy {
    private val recent = ArrayDeque<EncodedChange>()
    private val early = TreeMap<Long, EncodedChange>()

    /** 0 until a document has been installed. */
    var revision: Long = 0
        private set

    var sections: Sections = emptyMap()
        private set

    /** Takes [changes] in any order and returns those that could be applied, in order. */
    fun add(changes: List<EncodedChange>): List<EncodedChange> {
        changes.filter { it.revision > revision }.forEach { early[it.revision] = it }
        val applied = ArrayList<EncodedChange>()
        while (true) {
            val next = early.remove(revision + 1) ?: break
            apply(next)
            applied += next
        }
        while (early.size > CHANGES_KEPT) early.pollLastEntry()
        return applied
    }

    /** Replaces the copy by the document of a newer revision; an older or equal one is ignored. */
    fun install(
        newRevision: Long,
        newSections: Sections,
    ): Boolean {
        if (newRevision <= revision) return false
        revision = newRevision
        sections = newSections
        recent.clear()
        early.headMap(newRevision, true).clear()
        return true
    }

    /** The changes that lead from [after] to this revision, or null when some are no longer kept. */
    fun changesAfter(after: Long): List<EncodedChange>? =
        recent.filter { it.revision > after }.takeIf { after >= revision || it.firstOrNull()?.revision == after + 1 }

    /** The whole document as text. */
    fun text(): String = JsonObject(sections.mapValues { JsonObject(it.value) }).toString()

    private fun apply(encoded: EncodedChange) {
        val change = Json.decodeFromString<ConfigurationChange>(encoded.text)
        sections = sections + change.sections.mapValues { (name, section) -> sections[name].orEmpty().applyChange(section) }
        revision = encoded.revision
        recent.addLast(encoded)
        while (recent.size > CHANGES_KEPT) recent.removeFirst()
    }

    companion object {
        /** A node that lacks more changes than this reads the whole document. */
        const val CHANGES_KEPT = 64

        fun sectionsOf(text: String): Sections = Json.decodeFromString<JsonObject>(text).mapValues { it.value as JsonObject }
    }
}
