package org.ragwortlever.cli

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.optional
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.JsonObject
import org.ragwortlever.core.configuration.REVISIONS_MEMBER

/** `config get [SECTION]`: prints the whole document or one section, as JSON in the format that `config put` accepts. */
internal class ConfigGet : OperatorCommand("get") {
    private val section by argument(help = "Section to print; all sections if omitted").optional()
    private val output by outputOption()

    override fun help(context: Context): String =
        """
        Prints the configuration document with the revision of each section.

        Example: ragwortlever config get classes > classes.jsonc
        """.trimIndent()

    override fun run() {
        val document = fetchDocument()
        val name = section
        if (output == OutputFormat.JSON || name == null) return echo(PRETTY_JSON.encodeToString(document.filterSection(name)))
        print(output, (document[name] as? JsonObject)?.entryRows().orEmpty())
    }
}

private fun JsonObject.filterSection(section: String?): JsonObject =
    if (section == null) this else JsonObject(filterKeys { it == REVISIONS_MEMBER || it == section })
