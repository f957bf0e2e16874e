package org.ragwortlever.cli

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.JsonObject
import org.ragwortlever.core.configuration.REVISIONS_MEMBER
import kotlin.io.path.createTempFile
import kotlin.io.path.deleteIfExists
import kotlin.io.path.readText
import kotlin.io.path.writeText

/**
 * `config edit SECTION`: opens a section in the operator's editor and puts the result. If the put fails, the edited file
 * is kept, so that no edits are lost.
 */
internal class ConfigEdit : OperatorCommand("edit") {
    private val section by argument(help = "Section to edit")
    private val author by authorOption()
    private val editor by option("--editor", envvar = "EDITOR", help = "Command that opens a file in an editor").default("vi")

    override fun help(context: Context): String = "Opens a section in an editor and puts it when the editor exits with 0."

    override fun run() {
        val document = fetchDocument()
        val content = JsonObject(mapOf(REVISIONS_MEMBER to document.getValue(REVISIONS_MEMBER), section to fetchSection(section)))
        val before = PRETTY_JSON.encodeToString(content)
        val file = createTempFile("ragwortlever-$section-", ".jsonc").apply { writeText(before) }
        val exit = ProcessBuilder(editor.split(' ') + file.toString()).inheritIO().start().waitFor()
        if (exit != 0) fail("the editor exited with code $exit; nothing was put; the edited section is in $file", ExitCode.FAILURE)
        val after = file.readText()
        if (after == before) {
            file.deleteIfExists()
            return echo("nothing changed")
        }
        echo("the edited section is kept in $file until the put succeeds", err = true)
        echo(call("PUT", putPath(author), after))
        file.deleteIfExists()
    }
}
