package org.ragwortlever.cli

import com.github.ajalt.clikt.core.Context
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject

/** `nodes list`: prints the entry VMs that the called entry VM knows. */
internal class NodesList : OperatorCommand("list") {
    private val output by outputOption()

    override fun help(context: Context): String = "Lists the entry VMs that the called entry VM knows."

    override fun run() = print(output, Json.parseToJsonElement(call("GET", "/v1/nodes")).jsonArray.map { it.jsonObject })
}
