/*
 * A small fake of a model engine with an OpenAI-style interface. Its answers are a function of the conversation:
 * the same messages always give the same tokens, each with its position, so that a test can see a gap or a repeat.
 */
package org.ragwortlever.standins.engine

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.boolean
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.routes
import org.ragwortlever.core.key.sha256Hex
import org.ragwortlever.standins.StandInState
import org.ragwortlever.standins.json
import org.ragwortlever.standins.standIn
import java.util.concurrent.atomic.AtomicInteger

/** A fake engine; [tokenMilliseconds] is the time between two tokens unless a fault changes it. */
class EngineStandIn(
    val state: StandInState = StandInState(),
    private val tokenMilliseconds: Long = DEFAULT_TOKEN_MILLISECONDS,
) {
    private val running = AtomicInteger()

    /** Largest number of requests that ran at once so far. */
    val largestConcurrency = AtomicInteger()

    val handler: HttpHandler =
        standIn(
            state,
            routes(
                "/v1/chat/completions" bind Method.POST to ::complete,
                "/health" bind Method.GET to { Response(Status.OK) },
                "/metrics" bind Method.GET to { Response(Status.OK).body(metrics()) },
            ),
        )

    private fun complete(request: Request): Response {
        val call = CompletionCall.parse(request.bodyString())
        val stream = TokenStream(call, { state.fault }, tokenMilliseconds, onEnd = { running.decrementAndGet() })
        largestConcurrency.accumulateAndGet(running.incrementAndGet(), ::maxOf)
        if (call.stream) return Response(Status.OK).header("Content-Type", "text/event-stream").body(stream)
        val answer = stream.use { it.readWhole() }
        return Response(Status.OK).json(call.wholeAnswer(answer).toString())
    }

    private fun metrics(): String = "vllm:num_requests_running ${running.get()}\nvllm:num_requests_waiting 0\n"

    private companion object {
        const val DEFAULT_TOKEN_MILLISECONDS = 5L
    }
}

/** One chat completion: the conversation, the tokens that the caller already has, and the answer's length. */
internal data class CompletionCall(
    val model: String,
    val seed: String,
    val firstToken: Int,
    val totalTokens: Int,
    val stream: Boolean,
) {
    fun token(index: Int): String = answerToken(seed, index)

    fun wholeAnswer(text: String): JsonObject =
        buildJsonObject {
            put("id", "cmpl-$seed")
            put("object", "chat.completion")
            put("model", model)
            put("choices", choice("message", text))
        }

    fun chunk(
        text: String?,
        finished: Boolean,
    ): JsonObject =
        buildJsonObject {
            put("id", "cmpl-$seed")
            put("object", "chat.completion.chunk")
            put("model", model)
            put("choices", choice("delta", text, if (finished) "stop" else null))
        }

    private fun choice(
        member: String,
        text: String?,
        finishReason: String? = "stop",
    ): JsonArray =
        buildJsonArray {
            add(
                buildJsonObject {
                    put("index", 0)
                    put(
                        member,
                        buildJsonObject {
                            put("role", "assistant")
                            if (text != null) put("content", text)
                        },
                    )
                    put("finish_reason", finishReason?.let(::JsonPrimitive) ?: kotlinx.serialization.json.JsonNull)
                },
            )
        }

    companion object {
        private const val SHORTEST_ANSWER = 16
        private const val LENGTH_SPREAD = 33

        fun parse(body: String): CompletionCall {
            val json = Json.parseToJsonElement(body).jsonObject
            val messages = json.getValue("messages").jsonArray.map { it.jsonObject }
            val continued = json["continue_final_message"]?.jsonPrimitive?.boolean ?: false
            val conversation = if (continued) messages.dropLast(1) else messages
            val partial = if (continued) messages.last()["content"]?.jsonPrimitive?.contentOrNull.orEmpty() else ""
            val seed = sha256Hex(JsonArray(conversation).toString().toByteArray()).substring(0, 8)
            val natural = SHORTEST_ANSWER + seed.substring(0, 2).toInt(16) % LENGTH_SPREAD
            val limit = json["max_tokens"]?.jsonPrimitive?.int ?: Int.MAX_VALUE
            val already = partial.count { it == ' ' }
            return CompletionCall(
                model = json.getValue("model").jsonPrimitive.content,
                seed = seed,
                firstToken = already,
                totalTokens = if (continued) minOf(natural, saturatedSum(already, limit)) else minOf(natural, limit),
                stream = json["stream"]?.jsonPrimitive?.boolean ?: false,
            )
        }

        private fun saturatedSum(
            first: Int,
            second: Int,
        ): Int = (first.toLong() + second).coerceAtMost(Int.MAX_VALUE.toLong()).toInt()
    }
}

/** The token at [index] of the answer to the conversation with [seed]; ends with a blank. */
internal fun answerToken(
    seed: String,
    index: Int,
): String = "$seed-$index "
