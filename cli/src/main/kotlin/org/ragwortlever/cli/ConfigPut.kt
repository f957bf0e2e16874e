package org.ragwortlever.cli

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.path
import kotlin.io.path.readText

/** `config put FILE`: puts the sections in a file, unless one has changed since the revision in the file's `$revisions`. */
internal class ConfigPut : OperatorCommand("put") {
    private val file by argument(help = "File with the sections to put").path(mustExist = true, canBeDir = false)
    private val author by authorOption()

    override fun help(context: Context): String =
        """
        Puts the sections in a file. Exits with 3 if one has been changed since the revision in the file.

        Example: ragwortlever config put classes.jsonc --author assistants-team
        """.trimIndent()

    override fun run() = echo(call("PUT", putPath(author), file.readText()))
}
