// Prints the results of a command as JSON for scripts or as a table for people.
package org.ragwortlever.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.enum
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** The values of `--output`. */
internal enum class OutputFormat { JSON, TABLE }

/** The `--output` option of all commands that print rows. */
internal fun CliktCommand.outputOption() =
    option("--output", help = "Output format, for scripts (json) or for people (table)").enum<OutputFormat> {
        it.name.lowercase()
    }.default(OutputFormat.TABLE)

/** Prints [rows] in [format]; as a table, a field that a row lacks is shown as `-`. */
internal fun CliktCommand.print(
    format: OutputFormat,
    rows: List<JsonObject>,
) {
    when (format) {
        OutputFormat.JSON -> echo(PRETTY_JSON.encodeToString(JsonArray(rows)))
        OutputFormat.TABLE -> formatTable(rows).forEach { echo(it) }
    }
}

/** Formats [rows] as lines with aligned columns; the first line has the field names. */
internal fun formatTable(rows: List<JsonObject>): List<String> {
    if (rows.isEmpty()) return listOf("(none)")
    val names = rows.flatMap { it.keys }.distinct()
    val cells = listOf(names.map { it.uppercase() }) + rows.map { row -> names.map { row[it].formatCell() } }
    val widths = names.indices.map { column -> cells.maxOf { it[column].length } }
    return cells.map { line -> line.indices.joinToString("  ") { line[it].padEnd(widths[it]) }.trimEnd() }
}

/** Returns the entries of a section as rows, with the id as the first field. */
internal fun JsonObject.entryRows(): List<JsonObject> =
    entries.map { (id, entry) -> JsonObject(mapOf<String, JsonElement>("id" to JsonPrimitive(id)) + (entry as? JsonObject).orEmpty()) }

private fun JsonElement?.formatCell(): String =
    when (this) {
        null, is JsonNull -> "-"
        is JsonPrimitive -> content
        is JsonArray -> joinToString(",") { it.formatCell() }
        is JsonObject -> toString()
    }

internal val PRETTY_JSON = Json { prettyPrint = true }
