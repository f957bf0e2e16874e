package org.ragwortlever.cli

import com.github.ajalt.clikt.core.Context
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** `keys list`: prints the ids, accounts and states of keys, but neither a key nor its hash. */
internal class KeysList : OperatorCommand("list") {
    private val output by outputOption()

    override fun help(context: Context): String = "Lists the keys with their client accounts and states."

    override fun run() = print(output, fetchSection("keys").entryRows().map(::row))

    private fun row(entry: JsonObject) =
        JsonObject(
            mapOf(
                "id" to entry.getValue("id"),
                "account" to entry.getValue("account"),
                "state" to JsonPrimitive(if (entry["withdrawn"] == JsonPrimitive(true)) "withdrawn" else "active"),
            ),
        )
}
