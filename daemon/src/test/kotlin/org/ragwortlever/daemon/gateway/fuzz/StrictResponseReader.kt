// Reads responses from a caller's socket byte by byte and trusts nothing but a proved end.
package org.ragwortlever.daemon.gateway.fuzz

import java.io.IOException
import java.io.InputStream

/** What a caller got. */
internal sealed interface CallerResult {
    /** A response whose end was proved by its framing. */
    data class Complete(
        val status: Int,
        val headers: Map<String, String>,
        val body: String,
    ) : CallerResult

    /** A response that stopped before its end, or none at all. */
    data class Broken(
        val received: String,
    ) : CallerResult
}

/** Reads one response of the HTTP version [version] after another from [input]. */
internal class StrictResponseReader(
    private val input: InputStream,
    private val version: String,
) {
    private val body = StringBuilder()

    fun read(): CallerResult {
        body.clear()
        return try {
            val status = line().split(' ')
            check(status[0] == version && status[1].length == 3) { "status line $status" }
            val headers = generateSequence { line().ifEmpty { null } }.associate { header(it) }
            if (status[1] != NO_CONTENT) readBody(headers)
            CallerResult.Complete(status[1].toInt(), headers, body.toString())
        } catch (_: IOException) {
            CallerResult.Broken(body.toString())
        }
    }

    private fun header(line: String): Pair<String, String> {
        check(line.indexOf(':') > 0) { "not a header: $line" }
        return line.substringBefore(':').lowercase() to line.substringAfter(':').trim()
    }

    private fun readBody(headers: Map<String, String>) {
        val length = headers["content-length"]
        when {
            length != null -> repeat(length.toInt()) { body.append(next()) }
            headers["transfer-encoding"] == "chunked" -> readChunks()
            else -> generateSequence { input.read().takeIf { it >= 0 } }.forEach { body.append(it.toChar()) }
        }
    }

    private fun readChunks() {
        while (true) {
            val size = line().toInt(16)
            repeat(size) { body.append(next()) }
            check(line().isEmpty()) { "a chunk does not end with a line end" }
            if (size == 0) return
        }
    }

    private fun line(): String =
        buildString {
            while (true) {
                val char = next()
                if (char == '\n') break
                append(char)
            }
        }.also { check(it.endsWith('\r')) { "a line without CR: $it" } }.dropLast(1)

    private fun next(): Char {
        val byte = input.read()
        if (byte < 0) throw IOException("the connection ended")
        return byte.toChar()
    }

    private companion object {
        const val NO_CONTENT = "204"
    }
}
