// Renders chat completions as OpenAI-style JSON, whole or in chunks, with the entry VM's request id.
package org.ragwortlever.daemon.caller

import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import kotlin.time.Instant

internal class CompletionFormat(
    val requestId: String,
    private val model: String,
    private val created: Instant,
) {
    /** Renders one chunk: with text in [content], or the last one with a [finishReason]. */
    fun renderChunk(
        content: String?,
        finishReason: String?,
    ): String = render("chat.completion.chunk", "delta", content, finishReason, generatedTokens = null)

    /** Renders the complete response. */
    fun renderWhole(
        content: String,
        finishReason: String,
        generatedTokens: Int,
    ): String = render("chat.completion", "message", content, finishReason, generatedTokens)

    private fun render(
        kind: String,
        member: String,
        content: String?,
        finishReason: String?,
        generatedTokens: Int?,
    ): String =
        buildJsonObject {
            put("id", requestId)
            put("object", kind)
            put("created", created.epochSeconds)
            put("model", model)
            putJsonArray("choices") {
                addJsonObject {
                    put("index", 0)
                    put(member, message(content))
                    put("finish_reason", finishReason?.let(::JsonPrimitive) ?: JsonNull)
                }
            }
            if (generatedTokens != null) putJsonObject("usage") { put("completion_tokens", generatedTokens) }
        }.toString()

    private fun message(content: String?): JsonObject =
        buildJsonObject {
            if (content != null) {
                put("role", "assistant")
                put("content", content)
            }
        }
}
