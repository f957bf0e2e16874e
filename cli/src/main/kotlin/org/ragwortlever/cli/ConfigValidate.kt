package org.ragwortlever.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.onFailure
import org.ragwortlever.core.configuration.parseConfiguration
import kotlin.io.path.readText

/** `config validate FILE`: checks a whole document locally, without a call to an entry VM. */
internal class ConfigValidate : CliktCommand(name = "validate") {
    private val file by argument(help = "File with a whole document").path(mustExist = true, canBeDir = false)

    override fun help(context: Context): String =
        """
        Checks a whole document and prints every error with line, path and rule. Exits with 1 if there is one.

        Example: ragwortlever config validate examples/kijiti.jsonc
        """.trimIndent()

    override fun run() {
        parseConfiguration(file.readText()).onFailure { faults ->
            faults.forEach { echo("$file: $it", err = true) }
            throw ProgramResult(ExitCode.FAILURE.value)
        }
        echo("$file: valid")
    }
}
