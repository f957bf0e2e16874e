package org.ragwortlever.cli

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.ragwortlever.core.configuration.ConfigurationSubmission
import org.ragwortlever.core.configuration.diffSection
import kotlin.io.path.readText

/** `config diff FILE`: prints each entry that `config put` of the same file would add, change or remove. */
internal class ConfigDiff : OperatorCommand("diff") {
    private val file by argument(help = "File with the sections to compare").path(mustExist = true, canBeDir = false)
    private val output by outputOption()

    override fun help(context: Context): String = "Prints what putting a file would change, entry by entry."

    override fun run() {
        val submission =
            ConfigurationSubmission.parse(file.readText()).getOrElse { faults ->
                fail(faults.joinToString("\n") { "$file: $it" }, ExitCode.FAILURE)
            }
        val current = fetchDocument()
        val rows = submission.sections.flatMap { (section, entries) -> diffSection(section, current[section] as? JsonObject, entries) }
        print(output, rows)
    }

    private fun diffSection(
        section: String,
        current: JsonObject?,
        next: Map<String, JsonElement>,
    ): List<JsonObject> {
        val change = diffSection(current.orEmpty(), next)
        val upserts = change.upserts.map { (id, entry) -> row(section, id, if (current?.get(id) == null) "added" else "changed", entry) }
        return upserts + change.removals.map { row(section, it, "removed", null) }
    }

    private fun row(
        section: String,
        id: String,
        change: String,
        entry: JsonElement?,
    ): JsonObject =
        buildJsonObject {
            put("section", section)
            put("id", id)
            put("change", change)
            if (entry != null) put("entry", entry)
        }
}
