package org.ragwortlever.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option

/** The `--author` option of all commands that change the configuration; `config history` shows its value. */
internal fun CliktCommand.authorOption() =
    option("--author", envvar = "RAGWORTLEVER_AUTHOR", help = "Author of the change").default(System.getProperty("user.name") ?: "unknown")
