// `POST /v1/chat/completions`: streams the completion as server-sent events or returns it as one JSON document.
package org.ragwortlever.daemon.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.binding
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import okhttp3.OkHttpClient
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.ragwortlever.core.configuration.ConfigurationSnapshot
import org.ragwortlever.core.error.ErrorKind
import org.ragwortlever.core.error.Refusal
import org.ragwortlever.core.error.toProblemDetails
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.core.traffic.RequestDescription
import org.ragwortlever.core.traffic.RequestId
import org.ragwortlever.http.CallerWatch
import org.ragwortlever.http.ChunkStream
import kotlin.time.Instant

/** Records the tokens of a completion when it ends. */
internal fun interface UsageSink {
    fun record(
        account: String,
        promptTokens: Int,
        generatedTokens: Int,
    )
}

internal class ChatCompletionHandler(
    private val gateway: TrafficGateway,
    private val client: OkHttpClient,
    private val snapshot: () -> ConfigurationSnapshot,
    private val usage: UsageSink,
    private val maxBodyBytes: Long,
    private val now: () -> Instant,
) {
    /** Returns the completion or a refusal. Blocks until the first token, or until the end if the caller wants no stream. */
    fun handle(
        request: Request,
        requestId: String,
    ): Response = admit(request, requestId).fold(success = { respond(it, requestId) }, failure = { it.toResponse(requestId) })

    private fun admit(
        request: Request,
        requestId: String,
    ): Result<AdmittedChat, Refusal> =
        binding {
            val configuration = snapshot()
            val identity = configuration.identify(request).bind()
            val chat = ChatRequest.parse(request.readBody(maxBodyBytes).bind().utf8()).bind()
            configuration.checkModel(chat.model, identity.requestClass).bind()
            val description =
                RequestDescription(
                    id = RequestId(requestId),
                    account = identity.account,
                    requestClass = identity.requestClass,
                    model = chat.model,
                    promptTokens = chat.promptTokens,
                    session = chat.session(identity.account),
                    contentDigest = chat.digest(identity.account),
                )
            val submitted = gateway.submit(description, identity.keyHash)
            // The key may have been withdrawn after its check but before the request was registered at the gateway.
            if (snapshot().accountOfKey(identity.keyHash) != identity.account) gateway.endRequestsWithWithdrawnKeys(snapshot())
            val answer = CompletionStream(gateway, submitted, chat, client, snapshot)
            CallerWatch.current?.onDisconnect(answer::abandon)
            AdmittedChat(chat, description, answer)
        }

    /** Waits for the first part, so that a refusal before it can still set the response status. */
    private fun respond(
        admitted: AdmittedChat,
        requestId: String,
    ): Response {
        val answer = admitted.answer
        val first =
            answer.next().getOrElse { refusal ->
                answer.close()
                return refusal.toResponse(requestId)
            }
        val completion = CompletionFormat(requestId, admitted.chat.model, now())
        val parts = CompletionParts(first, answer) { recordUsage(admitted) }
        return if (admitted.chat.isStream) streamResponse(parts, completion) else collectResponse(parts, completion)
    }

    private fun streamResponse(
        parts: CompletionParts,
        completion: CompletionFormat,
    ): Response =
        Response(Status.OK)
            .header("Content-Type", "text/event-stream")
            .header("Cache-Control", "no-store")
            .body(EventStream(parts, completion))

    private fun collectResponse(
        parts: CompletionParts,
        completion: CompletionFormat,
    ): Response =
        parts.use {
            val text = StringBuilder()
            val end = parts.collectInto(text).getOrElse { return it.toResponse(completion.requestId) }
            val body = completion.renderWhole(text.toString(), end.finishReason, parts.generatedTokens)
            Response(Status.OK).header("Content-Type", "application/json").body(body)
        }

    private fun recordUsage(admitted: AdmittedChat) {
        val request = admitted.request
        usage.record(request.account, request.promptTokens, admitted.answer.generatedTokens)
        logger.info {
            eventLine(
                "answered",
                "request" to request.id,
                "account" to request.account,
                "class" to request.requestClass,
                "model" to request.model,
                "server" to admitted.answer.server,
                "tokens" to admitted.answer.generatedTokens,
            )
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}

private class AdmittedChat(
    val chat: ChatRequest,
    val request: RequestDescription,
    val answer: CompletionStream,
)

/** Parts of a completion, the first of which has already been read. */
internal class CompletionParts(
    first: CompletionPart,
    private val answer: CompletionStream,
    private val onClose: () -> Unit,
) : AutoCloseable {
    private var pending: CompletionPart? = first
    private var closed = false

    /** Number of tokens generated so far. */
    val generatedTokens: Int get() = answer.generatedTokens

    fun next(): Result<CompletionPart, Refusal> {
        val part = pending ?: return answer.next()
        pending = null
        return Ok(part)
    }

    override fun close() {
        if (closed) return
        closed = true
        answer.close()
        onClose()
    }
}

/** Renders completion parts as server-sent events as they arrive. */
private class EventStream(
    private val parts: CompletionParts,
    private val completion: CompletionFormat,
) : ChunkStream() {
    private var ended = false

    override fun close() = parts.close()

    override fun nextChunk(): ByteArray? {
        if (ended) return null
        return parts.next().fold(success = ::render, failure = ::renderRefusal).toByteArray()
    }

    private fun render(part: CompletionPart): String =
        when (part) {
            is CompletionPart.Text -> {
                "data: ${completion.renderChunk(part.content, null)}\n\n"
            }
            is CompletionPart.End -> {
                ended = true
                "data: ${completion.renderChunk(null, part.finishReason)}\n\ndata: [DONE]\n\n"
            }
        }

    private fun renderRefusal(refusal: Refusal): String {
        ended = true
        return "event: error\ndata: ${Json.encodeToString(refusal.toProblemDetails(completion.requestId))}\n\n"
    }
}

/** Reads the completion to its end and appends its text to [text]. */
private fun CompletionParts.collectInto(text: StringBuilder): Result<CompletionPart.End, Refusal> {
    while (true) {
        when (val part = next().getOrElse { return Err(it) }) {
            is CompletionPart.Text -> text.append(part.content)
            is CompletionPart.End -> return Ok(part)
        }
    }
}

private fun ConfigurationSnapshot.checkModel(
    model: String,
    requestClass: String,
): Result<Unit, Refusal> {
    val allowed = document.classes.getValue(requestClass).models
    if (model in document.models && (allowed.isEmpty() || model in allowed)) return Ok(Unit)
    return Err(Refusal(ErrorKind.UNKNOWN_MODEL, "$.model: class $requestClass does not offer model $model"))
}
