// The program `ragwortleverd`.
package org.ragwortlever.daemon

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.getOrElse
import org.ragwortlever.core.settings.Settings
import org.ragwortlever.core.settings.parseSettings
import org.ragwortlever.daemon.control.flushLogs
import org.slf4j.LoggerFactory
import java.util.concurrent.CountDownLatch
import kotlin.io.path.readText
import kotlin.system.exitProcess

private class DaemonCommand : CliktCommand(name = "ragwortleverd") {
    private val settingsFile by option("--settings", help = "File with the settings, in JSON with comments")
        .path(mustExist = true, canBeDir = false, mustBeReadable = true)
        .required()

    override fun help(context: Context): String = "Runs the daemon of one entry VM until SIGTERM, on which it drains and exits with 0."

    override fun run() {
        val settings =
            parseSettings(settingsFile.readText()).getOrElse { faults ->
                faults.forEach { echo("$settingsFile: $it", err = true) }
                throw ProgramResult(WRONG_USE)
            }
        applyLogLevel(settings)
        val daemon = Daemon(settings)
        val stopped = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(
            Thread {
                daemon.drain()
                daemon.close()
                flushLogs()
                // A process that SIGTERM ends exits with 143 by default; a completed drain is a success.
                Runtime.getRuntime().halt(0)
            },
        )
        daemon.start()
        stopped.await()
    }

    private fun applyLogLevel(settings: Settings) {
        (LoggerFactory.getLogger("org.ragwortlever") as Logger).level = Level.toLevel(settings.logLevel.name)
    }
}

/** Wrong use exits with 2, like wrong settings; the library's own code for it is 1. */
fun main(arguments: Array<String>) {
    val command = DaemonCommand()
    try {
        command.parse(arguments.toList())
    } catch (failure: UsageError) {
        command.echoFormattedHelp(failure)
        exitProcess(WRONG_USE)
    } catch (failure: CliktError) {
        command.echoFormattedHelp(failure)
        exitProcess(failure.statusCode)
    }
}

private const val WRONG_USE = 2
