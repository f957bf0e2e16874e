package org.ragwortlever.cli

import com.github.ajalt.clikt.core.Context
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject

/** `servers list`: prints the backend servers that the called entry VM currently uses. */
internal class ServersList : OperatorCommand("list") {
    private val output by outputOption()

    override fun help(context: Context): String = "Lists the backend servers that the called entry VM currently uses."

    override fun run() = print(output, Json.parseToJsonElement(call("GET", "/v1/servers")).jsonObject.entryRows())
}
