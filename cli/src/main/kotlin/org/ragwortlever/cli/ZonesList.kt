package org.ragwortlever.cli

import com.github.ajalt.clikt.core.Context
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** `zones list`: prints the availability zones; a zone without a state is in service. */
internal class ZonesList : OperatorCommand("list") {
    private val output by outputOption()

    override fun help(context: Context): String = "Lists the availability zones with their states."

    override fun run() = print(output, fetchSection("zones").entryRows().map { JsonObject(DEFAULT_STATE + it) })

    private companion object {
        val DEFAULT_STATE = mapOf<String, JsonElement>("id" to JsonPrimitive(""), "state" to JsonPrimitive("in-service"))
    }
}
