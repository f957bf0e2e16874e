/*
 * Text of one chat completion across all its attempts. If a backend server fails midway, the next attempt continues
 * after the text that the caller already has, without gaps or repetitions.
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

/** Reads one chat completion. Not thread-safe, except for [abandon]. */
internal class CompletionStream(
    private val gateway: TrafficGateway,
    private val submitted: SubmittedChatRequest,
    private val chat: ChatRequest,
    private val client: OkHttpClient,
    private val snapshot: () -> ConfigurationSnapshot,
) : AutoCloseable {
    private val text = StringBuilder()
    private var attempt: RunningAttempt? = null

    // Whether a byte of the request may have reached a backend server in a finished attempt.
    private var mayHaveBeenSent = false

    /** Number of tokens returned by [next] so far. */
    var generatedTokens: Int = 0
        private set

    /** Id of the backend server of the last attempt; null before the first. */
    var server: String? = null
        private set

    /** Returns the next part, or the refusal if the request is given up. Blocks. */
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

    /** Ends the request because its caller has disconnected. May be called from any thread. */
    fun abandon() = gateway.end(submitted, Refusal(ErrorKind.OUTCOME_UNKNOWN, "the caller closed its connection"))

    override fun close() {
        attempt?.call?.close()
        gateway.release(submitted)
    }

    private fun startAttempt(dispatch: TrafficEffect.Dispatch): RunningAttempt? {
        val address = snapshot().document.backendServers[dispatch.server]?.address
        if (address == null) {
            val gone = AttemptOutcome.Failed(0, "the backend server was removed from the configuration")
            gateway.post(TrafficEvent.Finished(dispatch.attempt, gone))
            return null
        }
        server = dispatch.server
        val call = UpstreamCall(client, address, chat.upstreamBody(dispatch.priority, text.toString(), generatedTokens))
        gateway.registerCancellation(dispatch.attempt, call::cancel)
        // The request may have been ended before the cancellation was registered.
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

    /** Marks the refusal as [Executed.UNKNOWN] if a backend server may have run the request. */
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

    /** @property tokensBefore value of [generatedTokens] at the start of the attempt. */
    private class RunningAttempt(
        val id: AttemptId,
        val call: UpstreamCall,
        val tokensBefore: Int,
    )
}

/** Returns the refusal for an unexpected [failure] inside the entry VM. */
internal fun internalRefusal(failure: Throwable): Refusal =
    Refusal(ErrorKind.INTERNAL, "the entry VM failed with ${failure.javaClass.simpleName}", Executed.UNKNOWN)
