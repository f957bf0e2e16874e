/*
 * The whole answer to one chat completion, over as many attempts as it takes. When a backend server fails in the
 * middle, the next attempt continues from the text that has been handed out, without a gap or a repeat.
 */
package org.ragwortlever.daemon.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import okhttp3.OkHttpClient
import org.ragwortlever.core.configuration.ConfigurationSnapshot
import org.ragwortlever.core.error.ErrorKind
import org.ragwortlever.core.error.Executed
import org.ragwortlever.core.error.Refusal
import org.ragwortlever.core.traffic.AttemptId
import org.ragwortlever.core.traffic.AttemptOutcome
import org.ragwortlever.core.traffic.TrafficEffect
import org.ragwortlever.core.traffic.TrafficEvent
import java.io.IOException

internal class CompletionStream(
    private val gateway: TrafficGateway,
    private val submitted: SubmittedChatRequest,
    private val chat: ChatRequest,
    private val client: OkHttpClient,
    private val snapshot: () -> ConfigurationSnapshot,
) : AutoCloseable {
    private val text = StringBuilder()
    private var attempt: RunningAttempt? = null

    // Whether a byte of the request may have reached a backend server.
    private var sent = false

    /** Tokens handed out so far. */
    var tokens: Int = 0
        private set

    /** The backend server of the last attempt. */
    var server: String? = null
        private set

    /** The next part of the answer, or the refusal when the request is given up on. */
    fun next(): Result<CompletionPart, Refusal> {
        while (true) {
            submitted.ended?.let { refusal ->
                attempt?.let { end(it, AttemptOutcome.Failed(tokens - it.firstToken, refusal.detail)) }
                return Err(refusal.afterSending())
            }
            val current =
                attempt ?: when (val decision = submitted.awaitDecision()) {
                    is TrafficEffect.Dispatch -> begin(decision)
                    is TrafficEffect.Refuse -> return Err(decision.refusal.afterSending())
                    else -> continue
                }
            if (current == null) continue
            read(current)?.let { return Ok(it) }
        }
    }

    /** Gives the request up because its caller has gone; may be called from any thread. */
    fun abandon() = gateway.end(submitted, Refusal(ErrorKind.OUTCOME_UNKNOWN, "the caller has gone"))

    override fun close() {
        attempt?.call?.close()
        gateway.release(submitted)
    }

    private fun begin(dispatch: TrafficEffect.Dispatch): RunningAttempt? {
        val address = snapshot().document.backendServers[dispatch.server]?.address
        if (address == null) {
            val gone = AttemptOutcome.Failed(0, "the backend server has left the configuration")
            gateway.post(TrafficEvent.Finished(dispatch.attempt, gone))
            return null
        }
        server = dispatch.server
        val call = UpstreamCall(client, address, chat.upstreamBody(dispatch.priority, text.toString(), tokens))
        gateway.onCancel(dispatch.attempt, call::cancel)
        // The cancellation may have come before there was anything to cancel.
        if (submitted.ended != null) call.cancel()
        return RunningAttempt(dispatch.attempt, call, firstToken = tokens).also { attempt = it }
    }

    private fun read(current: RunningAttempt): CompletionPart? =
        try {
            current.call.next().also { part -> account(current, part) }
        } catch (failure: IOException) {
            end(current, AttemptOutcome.Failed(tokens - current.firstToken, failure.message.orEmpty()))
            null
        }

    private fun account(
        current: RunningAttempt,
        part: CompletionPart,
    ) {
        when (part) {
            is CompletionPart.End -> {
                end(current, AttemptOutcome.Completed(tokens - current.firstToken))
            }
            is CompletionPart.Text -> {
                if (tokens == current.firstToken) gateway.post(TrafficEvent.FirstToken(current.id))
                tokens++
                text.append(part.content)
                gateway.post(TrafficEvent.Progress(current.id, 1))
            }
        }
    }

    private fun Refusal.afterSending(): Refusal = if (sent) copy(executed = Executed.UNKNOWN) else this

    private fun end(
        current: RunningAttempt,
        outcome: AttemptOutcome,
    ) {
        sent = sent || current.call.sent
        current.call.close()
        attempt = null
        gateway.finished(current.id, TrafficEvent.Finished(current.id, outcome))
    }

    private class RunningAttempt(
        val id: AttemptId,
        val call: UpstreamCall,
        val firstToken: Int,
    )
}

/** The refusal for a failure inside the entry VM itself. */
internal fun internalRefusal(failure: Throwable): Refusal =
    Refusal(ErrorKind.INTERNAL, "unexpected ${failure.javaClass.simpleName}", Executed.UNKNOWN)
