package org.ragwortlever.cli

import com.github.ajalt.clikt.core.Context
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.jsonObject

/** `usage show`: prints the sealed usage windows with the reported figures. */
internal class UsageShow : OperatorCommand("show") {
    private val output by outputOption()

    override fun help(context: Context): String = "Prints the sealed usage windows with the figures that were reported."

    override fun run() {
        val usage = Json.parseToJsonElement(call("GET", "/v1/usage"))
        if (usage is JsonArray) return print(output, usage.map { it.jsonObject })
        echo(PRETTY_JSON.encodeToString(usage))
    }
}
