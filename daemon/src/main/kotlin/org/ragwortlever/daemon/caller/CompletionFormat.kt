// Chat completions in the usual JSON, whole or in chunks, under the entry VM's own request id.
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
    /** One chunk with a piece of text, or the last one with the reason for the end. */
    fun renderChunk(
        content: String?,
        finishReason: String?,
    ): String = render("chat.completion.chunk", "delta", content, finishReason, generatedTokens = null)

    /** The whole answer. */
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
