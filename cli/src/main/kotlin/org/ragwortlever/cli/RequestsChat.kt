package org.ragwortlever.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

/** `requests chat PROMPT`: sends a chat completion request as a caller would and prints the response. */
internal class RequestsChat : CliktCommand(name = "chat") {
    private val prompt by argument(help = "The user's message")
    private val entryVm by option("--entry-vm", help = "Base URL of an entry VM's callers' port").required()
    private val key by option("--key", envvar = "RAGWORTLEVER_KEY", help = "Key of the client account").required()
    private val model by option("--model", help = "Model that completes the chat").required()
    private val requestClass by option("--class", help = "Request class; the default of the account if omitted")

    override fun help(context: Context): String = "Sends a chat completion request and prints the response."

    override fun run() {
        val headers = mutableMapOf("Authorization" to "Bearer $key")
        requestClass?.let { headers["X-Request-Class"] = it }
        echo(callOrFail(ApiClient(entryVm), "POST", "/v1/chat/completions", buildBody(), headers))
    }

    private fun buildBody(): String =
        buildJsonObject {
            put("model", model)
            putJsonArray("messages") {
                addJsonObject {
                    put("role", "user")
                    put("content", prompt)
                }
            }
        }.toString()
}
