package org.ragwortlever.cli

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.michaelbull.result.get
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** `explain REQUEST-ID`: prints the routing decisions of a request, from the first entry VM that has them. */
internal class Explain : OperatorCommand("explain") {
    private val requestId by argument(help = "X-Request-Id header of the response")
    private val output by outputOption()

    override fun help(context: Context): String =
        """
        Prints the routing decisions of a recent request, with the scores of all candidates.

        Example: ragwortlever explain 1f312dbb-28f5-4d98-b787-59adfb99aa2d --output json
        """.trimIndent()

    override fun run() {
        val nodes = Json.parseToJsonElement(call("GET", "/v1/nodes")).jsonArray
        val decisions =
            nodes.firstNotNullOfOrNull { fetchDecisions(it) }
                ?: fail("no entry VM that responded has the decisions of request $requestId; only recent ones are kept", ExitCode.FAILURE)
        print(output, decisions.map { it.jsonObject })
    }

    /** Returns the decisions that an entry VM has for the request; null if it has none or cannot be reached. */
    private fun fetchDecisions(node: JsonElement): List<JsonElement>? {
        val address = node.jsonObject["address"]?.jsonPrimitive?.content
        val port = node.jsonObject["operatorPort"]?.jsonPrimitive?.content
        val response = ApiClient("http://$address:$port").call("GET", "/v1/decisions/$requestId").get()
        return response?.takeIf { it.isSuccessful }?.let { Json.parseToJsonElement(it.body).jsonArray }
    }
}
