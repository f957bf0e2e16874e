// Sends one attempt of a chat completion to one backend server and reads its server-sent events.
package org.ragwortlever.daemon.caller

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
import org.ragwortlever.http.SendTracker
import org.ragwortlever.http.readLineUpTo
import java.io.IOException

/** A part of a completion. */
internal sealed interface CompletionPart {
    /** The next text, about one token long. */
    data class Text(
        val content: String,
    ) : CompletionPart

    /** The completion has ended; [finishReason] is the server's. */
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
    private val tracker = SendTracker()
    private val call: Call =
        client.newCall(
            tracker.attachTo(
                Request
                    .Builder()
                    .url("$address/v1/chat/completions")
                    .post(body.toRequestBody(JSON))
                    .build(),
            ),
        )
    private var source: BufferedSource? = null

    /** Whether a byte of the request may have been sent to the server. */
    val mayHaveBeenSent: Boolean get() = tracker.mayHaveBeenSent

    /**
     * Returns the next part; the first call sends the request. Blocks.
     *
     * @throws IOException if the server fails before the completion has ended.
     */
    fun next(): CompletionPart {
        val events = source ?: open()
        while (true) {
            val line =
                events.readLineUpTo(MAX_LINE_BYTES) ?: throw IOException("the stream ended without a finish reason and without [DONE]")
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
            throw IOException("the server responded with status ${response.code}")
        }
        return response.body.source().also { source = it }
    }

    private fun parsePart(data: String): CompletionPart? {
        if (data == DONE_MARKER) throw IOException("the stream sent [DONE] without a finish reason")
        return try {
            decodePart(data)
        } catch (failure: IllegalArgumentException) {
            throw IOException("the stream contains an event that is no completion chunk", failure)
        }
    }

    private fun decodePart(data: String): CompletionPart? {
        val choice = Json.parseToJsonElement(data).jsonObject["choices"]?.jsonArray?.firstOrNull()?.jsonObject ?: return null
        (choice["finish_reason"] as? JsonPrimitive)?.contentOrNull?.let { return CompletionPart.End(it) }
        val content = (choice["delta"]?.jsonObject?.get("content") as? JsonPrimitive)?.contentOrNull
        return content?.takeIf { it.isNotEmpty() }?.let { CompletionPart.Text(it) }
    }

    private companion object {
        val JSON = "application/json".toMediaType()
        const val DATA_PREFIX = "data:"

        // An event holds about one token; a longer line is a fault of the server.
        const val MAX_LINE_BYTES = 256L * 1024
        const val DONE_MARKER = "[DONE]"
    }
}
