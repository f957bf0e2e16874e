// A chat completion as the caller sent it, checked as far as routing needs it.
package org.ragwortlever.daemon.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.put
import org.ragwortlever.core.error.ErrorKind
import org.ragwortlever.core.error.Refusal
import org.ragwortlever.core.key.sha256Hex

internal class ChatRequest(
    private val body: JsonObject,
    val model: String,
    private val messages: JsonArray,
    val isStream: Boolean,
) {
    /** A rough count of the prompt's tokens. */
    val promptTokens: Int = maxOf(1, messages.toString().length / CHARACTERS_PER_TOKEN)

    private val maximumTokens: Int? = (body["max_tokens"] as? JsonPrimitive)?.intOrNull

    /** The same for the same content from the same [account], whatever id the request comes under. */
    fun digest(account: String): String = sha256Hex("$account\n$model\n$messages".toByteArray())

    /** Identifies the conversation by its first message, so that later turns find the same prefix cache. */
    fun session(account: String): String = sha256Hex("$account\n$model\n${messages.first()}".toByteArray()).substring(0, SESSION_DIGITS)

    /** The body to send upstream; [generated] is the part of the answer that the caller has, [tokens] tokens long. */
    fun upstreamBody(
        priority: Int,
        generated: String,
        generatedTokens: Int,
    ): String {
        val changed = body.toMutableMap()
        changed["stream"] = JsonPrimitive(true)
        changed["priority"] = JsonPrimitive(priority)
        if (generated.isNotEmpty()) {
            changed["messages"] = JsonArray(messages + partialAnswer(generated))
            changed["continue_final_message"] = JsonPrimitive(true)
            changed["add_generation_prompt"] = JsonPrimitive(false)
            maximumTokens?.let { changed["max_tokens"] = JsonPrimitive(maxOf(1, it - generatedTokens)) }
        }
        return JsonObject(changed).toString()
    }

    private fun partialAnswer(generated: String) =
        buildJsonObject {
            put("role", "assistant")
            put("content", generated)
        }

    companion object {
        private const val CHARACTERS_PER_TOKEN = 4
        private const val SESSION_DIGITS = 16

        /** Checks [text]; the refusal names the field and the rule. */
        fun parse(text: String): Result<ChatRequest, Refusal> {
            val body =
                try {
                    Json.parseToJsonElement(text) as? JsonObject
                } catch (failure: SerializationException) {
                    return malformed("$: ${failure.message.orEmpty().lineSequence().first()}")
                }
            if (body == null) return malformed("$: must be an object")
            val model =
                (body["model"] as? JsonPrimitive)?.takeIf { it.isString }?.contentOrNull ?: return malformed("$.model: must be a string")
            val messages = body["messages"] as? JsonArray
            if (messages.isNullOrEmpty()) return malformed("$.messages: must be a list with at least one message")
            if (messages.any { it !is JsonObject }) return malformed("$.messages: each message must be an object")
            val stream = body["stream"]?.let {
                (it as? JsonPrimitive)?.booleanOrNull ?: return malformed("$.stream: must be true or false")
            }
            return Ok(ChatRequest(body, model, messages, stream ?: false))
        }

        private fun malformed(detail: String) = Err(Refusal(ErrorKind.MALFORMED_REQUEST, detail))
    }
}
