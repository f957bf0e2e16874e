package org.ragwortlever.cli

import com.github.ajalt.clikt.core.Context
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.ragwortlever.core.configuration.ConfigurationChange

/** `config history`: prints the accepted configuration changes, oldest first. */
internal class ConfigHistory : OperatorCommand("history") {
    private val output by outputOption()

    override fun help(context: Context): String = "Prints the accepted changes with their authors, oldest first."

    override fun run() = print(output, Json.decodeFromString<List<ConfigurationChange>>(call("GET", "/v1/config/history")).map { it.row() })

    private fun ConfigurationChange.row(): JsonObject =
        buildJsonObject {
            put("revision", revision)
            put("time", time.toString())
            put("author", author)
            put(
                "changes",
                sections.entries.joinToString("; ") { (name, change) ->
                    "$name: ${change.upserts.size} set, ${change.removals.size} removed"
                },
            )
        }
}
