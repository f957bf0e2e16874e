package org.ragwortlever.cli

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.michaelbull.result.get
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** `explain REQUEST-ID`: the routing decisions of a request, from whichever entry VM made them. */
internal class Explain : OperatorCommand("explain") {
    private val requestId by argument(help = "Value of X-Request-Id of the answer")
    private val output by outputOption()

    override fun help(context: Context): String =
        """
        Prints the routing decisions of a recent request, with the scores of all candidates.

        Example: ragwortlever explain 1f312dbb-28f5-4d98-b787-59adfb99aa2d --output json
        """.trimIndent()

    override fun run() {
        val nodes = Json.parseToJsonElement(call("GET", "/v1/nodes")).jsonArray
        val decisions = nodes.firstNotNullOfOrNull { fetchDecisions(it) } ?: fail("no entry VM remembers request $requestId", ExitCode.FAILURE)
        print(output, decisions.map { it.jsonObject })
    }

    private fun fetchDecisions(node: JsonElement): List<JsonElement>? {
        val address = node.jsonObject["address"]?.jsonPrimitive?.content
        val port = node.jsonObject["operatorPort"]?.jsonPrimitive?.content
        val response = ApiClient("http://$address:$port").call("GET", "/v1/decisions/$requestId").get()
        return response?.takeIf { it.isSuccessful }?.let { Json.parseToJsonElement(it.body).jsonArray }
    }
}
