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
    private var mayHaveBeenSent = false

    /** Tokens handed out so far. */
    var generatedTokens: Int = 0
        private set

    /** The backend server of the last attempt. */
    var server: String? = null
        private set

    /** The next part of the answer, or the refusal when the request is given up on. */
    fun next(): Result<CompletionPart, Refusal> {
        while (true) {
            submitted.endRefusal?.let { refusal ->
                attempt?.let { finishAttempt(it, AttemptOutcome.Failed(generatedTokens - it.tokensBefore, refusal.detail)) }
                return Err(refusal.withExecution())
            }
            val current =
                attempt ?: when (val decision = submitted.awaitDecision()) {
                    is TrafficEffect.Dispatch -> startAttempt(decision)
                    is TrafficEffect.Refuse -> return Err(decision.refusal.withExecution())
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

    private fun startAttempt(dispatch: TrafficEffect.Dispatch): RunningAttempt? {
        val address = snapshot().document.backendServers[dispatch.server]?.address
        if (address == null) {
            val gone = AttemptOutcome.Failed(0, "the backend server has left the configuration")
            gateway.post(TrafficEvent.Finished(dispatch.attempt, gone))
            return null
        }
        server = dispatch.server
        val call = UpstreamCall(client, address, chat.upstreamBody(dispatch.priority, text.toString(), generatedTokens))
        gateway.registerCancellation(dispatch.attempt, call::cancel)
        // The cancellation may have come before there was anything to cancel.
        if (submitted.endRefusal != null) call.cancel()
        return RunningAttempt(dispatch.attempt, call, tokensBefore = generatedTokens).also { attempt = it }
    }

    private fun read(current: RunningAttempt): CompletionPart? =
        try {
            current.call.next().also { part -> countPart(current, part) }
        } catch (failure: IOException) {
            finishAttempt(current, AttemptOutcome.Failed(generatedTokens - current.tokensBefore, failure.message.orEmpty()))
            null
        }

    private fun countPart(
        current: RunningAttempt,
        part: CompletionPart,
    ) {
        when (part) {
            is CompletionPart.End -> {
                finishAttempt(current, AttemptOutcome.Completed(generatedTokens - current.tokensBefore))
            }
            is CompletionPart.Text -> {
                if (generatedTokens == current.tokensBefore) gateway.post(TrafficEvent.FirstToken(current.id))
                generatedTokens++
                text.append(part.content)
                gateway.post(TrafficEvent.Progress(current.id, 1))
            }
        }
    }

    private fun Refusal.withExecution(): Refusal = if (mayHaveBeenSent) copy(executed = Executed.UNKNOWN) else this

    private fun finishAttempt(
        current: RunningAttempt,
        outcome: AttemptOutcome,
    ) {
        mayHaveBeenSent = mayHaveBeenSent || current.call.mayHaveBeenSent
        current.call.close()
        attempt = null
        gateway.finishAttempt(current.id, TrafficEvent.Finished(current.id, outcome))
    }

    private class RunningAttempt(
        val id: AttemptId,
        val call: UpstreamCall,
        val tokensBefore: Int,
    )
}

/** The refusal for a failure inside the entry VM itself. */
internal fun internalRefusal(failure: Throwable): Refusal =
    Refusal(ErrorKind.INTERNAL, "unexpected ${failure.javaClass.simpleName}", Executed.UNKNOWN)
