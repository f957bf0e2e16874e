/*
 * A document as an operator submits it: some of the sections, and in `$revisions` the revision of each section that the
 * operator has read. `config get` prints the same format, so its output can be edited and submitted.
 */
package org.ragwortlever.core.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull
import org.ragwortlever.core.json.DocumentError
import org.ragwortlever.core.json.LocatedJson
import org.ragwortlever.core.json.child
import org.ragwortlever.core.json.decodeChecked

/** Name of the member with the revision of each section that the author has read. */
const val REVISIONS_MEMBER: String = "\$revisions"

/**
 * A parsed submission. Its structure has been checked, the references between sections have not.
 *
 * @property sections entries of the submitted sections, by section.
 * @property seenRevisions revision of each section that the author has read; 0 for a section that did not exist.
 */
class ConfigurationSubmission private constructor(
    val sections: Map<String, Map<String, JsonElement>>,
    val seenRevisions: Map<String, Long>,
    val document: ConfigurationDocument,
    private val located: LocatedJson,
) {
    /** Converts [violations] to errors with the line in this submission. */
    fun locate(violations: List<RuleViolation>): List<DocumentError> = violations.map { located.errorAt(it.path, it.rule) }

    companion object {
        /** Parses [text]. The error lists every structural fault with line, path and rule. */
        fun parse(text: String): Result<ConfigurationSubmission, List<DocumentError>> {
            val located = LocatedJson.parse(text).getOrElse { return Err(listOf(it)) }
            val document =
                located
                    .decodeChecked(ConfigurationDocument.serializer(), ignored = setOf(REVISIONS_MEMBER))
                    .getOrElse { return Err(it) }
            val root = located.root as JsonObject
            val revisions = located.readRevisions(root).getOrElse { return Err(it) }
            val sections = (root - REVISIONS_MEMBER).mapValues { (_, entries) -> entries as JsonObject }
            if (sections.isEmpty()) return Err(listOf(located.errorAt("$", "contains no section; add at least one")))
            return Ok(ConfigurationSubmission(sections, revisions, document, located))
        }
    }
}

/** Parses [text] and validates it as a whole document. The error lists every fault with line, path and rule. */
fun parseConfiguration(text: String): Result<ConfigurationDocument, List<DocumentError>> {
    val submission = ConfigurationSubmission.parse(text).getOrElse { return Err(it) }
    val faults = submission.locate(validate(submission.document))
    return if (faults.isEmpty()) Ok(submission.document) else Err(faults)
}

private fun LocatedJson.readRevisions(root: JsonObject): Result<Map<String, Long>, List<DocumentError>> {
    val path = "$".child(REVISIONS_MEMBER)
    val member = root[REVISIONS_MEMBER] ?: return Ok(emptyMap())
    if (member !is JsonObject) return Err(listOf(errorAt(path, "must be an object")))
    val revisions = member.mapValues { (_, value) -> (value as? JsonPrimitive)?.takeUnless { it.isString }?.longOrNull }
    val faults = revisions.filterValues { it == null }.keys.map { errorAt(path.child(it), "must be a whole number") }
    return if (faults.isEmpty()) Ok(revisions.mapValues { (_, value) -> value ?: 0L }) else Err(faults)
}
