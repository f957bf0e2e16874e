// Base class and helpers of the commands that call an entry VM.
package org.ragwortlever.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.ragwortlever.core.configuration.REVISIONS_MEMBER
import java.net.URLEncoder

/** A command that calls an entry VM's operators' port. */
internal abstract class OperatorCommand(
    name: String,
) : CliktCommand(name = name) {
    private val operator by option(
        "--operator",
        envvar = "RAGWORTLEVER_OPERATOR",
        help = "Base URL of an entry VM's operators' port",
    ).required()

    /** Calls the operators' port and returns the response body; ends the program if the call fails. */
    protected fun call(
        method: String,
        path: String,
        body: String? = null,
    ): String = callOrFail(ApiClient(operator), method, path, body, emptyMap())

    /** Fetches the configuration document with the revision of each section. */
    protected fun fetchDocument(): JsonObject = Json.parseToJsonElement(call("GET", "/v1/config")).jsonObject

    /** Fetches the entries of [section] in the current configuration document; empty if it has no such section. */
    protected fun fetchSection(section: String): JsonObject = fetchDocument()[section]?.jsonObject ?: JsonObject(emptyMap())

    /**
     * Applies [change] to the entries of [section] and puts the result.
     *
     * If the section was changed by somebody else in the meantime, [change] is applied again to the newer entries, up to
     * [MAX_CHANGE_ATTEMPTS] times in all. It must therefore concern single entries only.
     */
    protected fun changeSection(
        section: String,
        author: String,
        change: (JsonObject) -> Map<String, JsonElement>,
    ) {
        repeat(MAX_CHANGE_ATTEMPTS) {
            val document = fetchDocument()
            val entries = JsonObject(change(document[section]?.jsonObject ?: JsonObject(emptyMap())))
            val submission = JsonObject(mapOf(REVISIONS_MEMBER to document.getValue(REVISIONS_MEMBER), section to entries))
            val response =
                ApiClient(operator)
                    .call("PUT", putPath(author), Json.encodeToString(submission))
                    .getOrElse { fail(it, ExitCode.UNREACHABLE) }
            if (response.isSuccessful) return
            if (response.status != CONFLICT_STATUS) fail(response.describeProblem(), ExitCode.FAILURE)
        }
        fail("section $section was changed by somebody else during each of $MAX_CHANGE_ATTEMPTS attempts; try again", ExitCode.CONFLICT)
    }

    protected fun putPath(author: String): String = "/v1/config?author=" + URLEncoder.encode(author, Charsets.UTF_8)

    private companion object {
        const val MAX_CHANGE_ATTEMPTS = 5
    }
}

/** Returns the body of a successful response; prints any other outcome and ends the program with its exit code. */
internal fun CliktCommand.callOrFail(
    client: ApiClient,
    method: String,
    path: String,
    body: String?,
    headers: Map<String, String>,
): String {
    val response = client.call(method, path, body, headers).getOrElse { fail(it, ExitCode.UNREACHABLE) }
    if (response.isSuccessful) return response.body
    fail(response.describeProblem(), if (response.status == CONFLICT_STATUS) ExitCode.CONFLICT else ExitCode.FAILURE)
}

/** Prints [message] to standard error and ends the program with [code]. */
internal fun CliktCommand.fail(
    message: String,
    code: ExitCode,
): Nothing {
    echo(message, err = true)
    throw ProgramResult(code.value)
}

/** Returns kind and detail if the body is a problem document, and otherwise status and body. */
private fun ApiResponse.describeProblem(): String {
    val problem = runCatching { Json.parseToJsonElement(body).jsonObject }.getOrNull() ?: return "status $status: $body"
    val kind = problem["kind"]?.jsonPrimitive?.content ?: return "status $status: $body"
    return "$kind: ${problem["detail"]?.jsonPrimitive?.content}"
}

private const val CONFLICT_STATUS = 409
