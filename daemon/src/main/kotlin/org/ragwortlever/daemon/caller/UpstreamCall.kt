// One attempt of a chat completion on one backend server: sends it and reads its server-sent events.
package org.ragwortlever.daemon.caller

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import okhttp3.Call
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okio.BufferedSource
import org.ragwortlever.http.SendMark
import java.io.IOException

/** A part of an answer. */
internal sealed interface CompletionPart {
    /** The next piece of text, about one token. */
    data class Text(
        val content: String,
    ) : CompletionPart

    /** The answer is complete. */
    data class End(
        val finishReason: String,
    ) : CompletionPart
}

/** An attempt in progress. Not thread-safe, but [cancel] may be called from any thread. */
internal class UpstreamCall(
    client: OkHttpClient,
    address: String,
    body: String,
) : AutoCloseable {
    private val mark = SendMark()
    private val call: Call =
        client.newCall(
            mark.on(
                Request
                    .Builder()
                    .url("$address/v1/chat/completions")
                    .post(body.toRequestBody(JSON))
                    .build(),
            ),
        )
    private var source: BufferedSource? = null

    /** Whether a byte of the request may have reached the server. */
    val mayHaveBeenSent: Boolean get() = mark.sent

    /** The next part; throws [IOException] when the server fails before the answer is complete. */
    fun next(): CompletionPart {
        val events = source ?: open()
        while (true) {
            val line = events.readUtf8Line() ?: throw IOException("the stream ended before the answer was complete")
            if (!line.startsWith(DATA_PREFIX)) continue
            parsePart(line.removePrefix(DATA_PREFIX).trim())?.let { return it }
        }
    }

    fun cancel() = call.cancel()

    override fun close() {
        call.cancel()
        runCatching { source?.close() }
    }

    private fun open(): BufferedSource {
        val response = call.execute()
        if (!response.isSuccessful) {
            response.close()
            throw IOException("status ${response.code}")
        }
        return response.body.source().also { source = it }
    }

    private fun parsePart(data: String): CompletionPart? {
        if (data == DONE_MARKER) throw IOException("the stream ended without a finish reason")
        val choice =
            try {
                Json.parseToJsonElement(data).jsonObject["choices"]?.jsonArray?.firstOrNull()?.jsonObject ?: return null
            } catch (failure: SerializationException) {
                throw IOException("the stream holds an event that is not JSON", failure)
            }
        (choice["finish_reason"] as? JsonPrimitive)?.contentOrNull?.let { return CompletionPart.End(it) }
        val content = (choice["delta"]?.jsonObject?.get("content") as? JsonPrimitive)?.contentOrNull
        return content?.takeIf { it.isNotEmpty() }?.let { CompletionPart.Text(it) }
    }

    private companion object {
        val JSON = "application/json".toMediaType()
        const val DATA_PREFIX = "data:"
        const val DONE_MARKER = "[DONE]"
    }
}
