// The program `ragwortlever`, the command-line tool for operators.
package org.ragwortlever.cli

import com.github.ajalt.clikt.completion.completionOption
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import kotlin.system.exitProcess

/** A command that only groups subcommands. */
private class CommandGroup(
    name: String,
    private val description: String,
) : CliktCommand(name = name) {
    override fun help(context: Context): String = description

    override fun run() = Unit
}

/** Creates the root command with all subcommands. */
internal fun createCommand(): CliktCommand =
    CommandGroup("ragwortlever", "Operates ragwortlever, a router for language-model traffic.")
        .completionOption()
        .subcommands(
            CommandGroup("config", "Reads and changes the configuration document.")
                .subcommands(ConfigGet(), ConfigPut(), ConfigEdit(), ConfigValidate(), ConfigDiff(), ConfigHistory()),
            CommandGroup("keys", "Creates, withdraws and lists keys of client accounts.")
                .subcommands(KeysCreate(), KeysWithdraw(), KeysList()),
            CommandGroup("zones", "Takes availability zones out and brings them back.")
                .subcommands(ZonesTakeOut(), ZonesBringBack(), ZonesList()),
            CommandGroup("servers", "Shows backend servers.").subcommands(ServersList()),
            CommandGroup("nodes", "Shows entry VMs.").subcommands(NodesList()),
            CommandGroup("usage", "Shows reported usage.").subcommands(UsageShow()),
            CommandGroup("requests", "Sends requests as a caller would.").subcommands(RequestsChat(), RequestsCall()),
            Explain(),
        )

/**
 * Runs the tool and returns its exit code. A usage error gets a code of its own, because Clikt's code for it is 1, which
 * scripts could not tell from [ExitCode.FAILURE].
 */
internal fun runCommand(arguments: List<String>): Int {
    val command = createCommand()
    return try {
        command.parse(arguments)
        ExitCode.SUCCESS.value
    } catch (failure: UsageError) {
        command.echoFormattedHelp(failure)
        ExitCode.USAGE_ERROR.value
    } catch (failure: CliktError) {
        command.echoFormattedHelp(failure)
        failure.statusCode
    }
}

fun main(arguments: Array<String>): Unit = exitProcess(runCommand(arguments.toList()))
