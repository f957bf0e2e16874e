package org.ragwortlever.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required

/** `requests call PATH`: sends a plain service call as a caller would and prints the response. */
internal class RequestsCall : CliktCommand(name = "call") {
    private val path by argument(help = "Path of the call, which starts with /services/")
    private val entryVm by option("--entry-vm", help = "Base URL of an entry VM's callers' port").required()
    private val key by option("--key", envvar = "RAGWORTLEVER_KEY", help = "Key of the client account").required()
    private val method by option("--method", help = "HTTP method").default("POST")
    private val data by option("--data", help = "Body of the call")
    private val idempotencyKey by option("--idempotency-key", help = "Idempotency key, with which the call runs at most once")

    override fun help(context: Context): String = "Sends a plain service call and prints the response."

    override fun run() {
        val headers = mutableMapOf("Authorization" to "Bearer $key")
        idempotencyKey?.let { headers["Idempotency-Key"] = it }
        echo(callOrFail(ApiClient(entryVm), method, path, data, headers))
    }
}
