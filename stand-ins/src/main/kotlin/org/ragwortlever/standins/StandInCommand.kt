// The program `ragwortlever-stand-in`: runs one of the fakes as a process on loopback.
package org.ragwortlever.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.int
import org.http4k.core.HttpHandler
import org.http4k.server.asServer
import org.ragwortlever.http.HttpLimits
import org.ragwortlever.http.UndertowServer
import org.ragwortlever.standins.engine.EngineStandIn
import org.ragwortlever.standins.platform.PlatformStandIn
import org.ragwortlever.standins.service.ServiceStandIn

private class StandInCommand : CliktCommand(name = "ragwortlever-stand-in") {
    private val kind by argument(help = "Which fake to run").choice("platform", "engine", "service")
    private val port by option(help = "Port on loopback; 0 takes an ephemeral port").int().default(0)

    override fun help(context: Context): String = "Runs a small fake of an outside system on loopback, for tests and the local trial."

    override fun run() {
        val server = handlerOf(kind).asServer(UndertowServer("127.0.0.1", port, LIMITS)).start()
        // The first line on standard output tells the trial script which port was taken.
        println("event=listening kind=$kind address=http://127.0.0.1:${server.port()}")
        Thread.currentThread().join()
    }

    private companion object {
        val LIMITS = HttpLimits(maxBodyBytes = 64L * 1024 * 1024, workerThreads = 128)
    }
}

private fun handlerOf(kind: String): HttpHandler =
    when (kind) {
        "platform" -> PlatformStandIn().handler
        "engine" -> EngineStandIn().handler
        else -> ServiceStandIn().handler
    }

fun main(arguments: Array<String>) = StandInCommand().main(arguments)
