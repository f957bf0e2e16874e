// The body of a fake engine's answer: server-sent events, one token each, made while they are read.
package org.ragwortlever.standins.engine

import org.ragwortlever.http.ChunkStream
import org.ragwortlever.standins.Fault
import java.io.IOException

/** Generates the events of [call]; a read blocks for the time that a token takes. */
internal class TokenStream(
    private val call: CompletionCall,
    private val fault: () -> Fault,
    private val tokenMilliseconds: Long,
    private val onEnd: () -> Unit,
) : ChunkStream() {
    private var nextToken = call.firstToken
    private var finished = false
    private var closed = false

    /** The whole text of the answer, in the time that generating it takes. */
    fun readWhole(): String =
        buildString {
            while (nextToken < call.totalTokens) {
                awaitToken()
                append(call.token(nextToken++))
            }
        }

    override fun close() {
        if (closed) return
        closed = true
        onEnd()
    }

    override fun nextChunk(): ByteArray? {
        if (finished) return null
        if (nextToken < call.totalTokens) {
            awaitToken()
            return "data: ${call.chunk(call.token(nextToken++), finished = false)}\n\n".toByteArray()
        }
        finished = true
        return "data: ${call.chunk(null, finished = true)}\n\ndata: [DONE]\n\n".toByteArray()
    }

    private fun awaitToken() {
        val limit = fault().failStreamAfterTokens
        if (limit != null && nextToken - call.firstToken >= limit) throw IOException("the stand-in breaks this stream")
        while (fault().silent) Thread.sleep(SILENCE_CHECK_MILLISECONDS)
        Thread.sleep(fault().tokenMilliseconds ?: tokenMilliseconds)
    }

    private companion object {
        const val SILENCE_CHECK_MILLISECONDS = 20L
    }
}
