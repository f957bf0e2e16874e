// The program behind `bench/pool`: many entry VMs before one pool of engines, one JSON object a line.
package org.ragwortlever.bench.pool

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlinx.serialization.json.Json
import java.util.concurrent.Callable
import java.util.concurrent.Executors

private class PoolCommand : CliktCommand(name = "bench/pool") {
    private val quick by option(help = "1, 30 and 100 VMs, loads 0.6 and 0.9, steady, a burst and slow engines").flag()
    private val vms by option("--vms", help = "Entry VMs; may be given again").int().restrictTo(1..1000).multiple()
    private val engines by option(help = "Engines").int().restrictTo(1..1000).default(40)
    private val loads by option("--load", help = "Offered load as a part of capacity; may be given again").double().multiple()
    private val scenarios by option("--scenario", help = "Only this scenario; may be given again")
        .choice(PoolScenario.ALL.associateBy { it.name })
        .multiple()
    private val seed by option(help = "Seed of the arrivals").long().default(1)
    private val threads by option(help = "Runs at the same time").int().restrictTo(1..8).default(3)

    override fun help(context: Context): String = "Measures in virtual time what a fleet of entry VMs makes of one pool of model engines."

    override fun run() {
        val executor = Executors.newFixedThreadPool(threads)
        try {
            cells()
                .map { cell -> executor.submit(Callable { PoolRun(cell).run() }) }
                .forEach { println(Json.encodeToString(PoolResult.serializer(), it.get())) }
        } finally {
            executor.shutdownNow()
        }
    }

    private fun cells(): List<PoolCell> {
        val counts = vms.ifEmpty { if (quick) listOf(1, 30, 100) else listOf(1, 8, 30, 100, 300) }
        val offered = loads.ifEmpty { if (quick) listOf(0.6, 0.9) else listOf(0.6, 0.9, 1.2, 2.0) }
        val played = scenarios.ifEmpty { PoolScenario.ALL.filter { !quick || it.name in QUICK_SCENARIOS } }
        return played.flatMap { scenario ->
            offered.flatMap { load -> counts.map { PoolCell(it, engines, load, scenario, seed) } }
        }
    }

    private companion object {
        val QUICK_SCENARIOS = setOf("steady", "class-burst", "engines-slow")
    }
}

fun main(arguments: Array<String>) = PoolCommand().main(arguments)
