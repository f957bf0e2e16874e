// Determines from the head of a response where its body ends.
package org.ragwortlever.http

/** How the end of a response's body is marked. */
internal sealed interface ResponseBodyFraming {
    /** The response is an interim one (status 100 to 199), and another one follows. */
    data object Interim : ResponseBodyFraming

    /** The response has no body. */
    data object None : ResponseBodyFraming

    /** The body has [bytes] bytes. */
    data class Length(
        val bytes: Long,
    ) : ResponseBodyFraming

    /** The body comes in chunks, of which the last is empty. */
    data object Chunked : ResponseBodyFraming

    /** The body ends with the connection. */
    data object UntilClose : ResponseBodyFraming
}

/** The lines of a head, as far as they tell where the body ends. The request had the method [method]. */
internal class ResponseHead(
    val method: String,
) {
    private var status: Int? = null
    private val lengths = ArrayList<String>()
    private val encodings = ArrayList<String>()

    /**
     * Adds the next line, which isn't empty.
     *
     * @throws MalformedResponseException if it is the first line and no status line, or a later one and no field line.
     */
    fun addLine(line: String) {
        if (status == null) {
            status = parseStatus(line) ?: throw MalformedResponseException("the status line is invalid")
            return
        }
        // OkHttp drops the heads of interim responses and trims values, so it shows only some of the malformed lines.
        if (!line.isFieldLine()) throw MalformedResponseException("the head has an invalid line")
        line.valueOf("Content-Length")?.let { lengths += it }
        line.valueOf("Transfer-Encoding")?.let { encodings += it }
    }

    /**
     * Returns how the end of the body is marked.
     *
     * @throws MalformedResponseException if the head has no status line or the end can be read in several ways.
     */
    fun body(): ResponseBodyFraming {
        val code = status ?: throw MalformedResponseException("the response has no status line")
        if (code == SWITCHING_PROTOCOLS) throw MalformedResponseException("the server switches protocols without being asked to")
        if (code in INTERIM) return ResponseBodyFraming.Interim
        if (isFramingAmbiguous(lengths, encodings)) throw MalformedResponseException("the headers do not determine the end of the body")
        return when {
            method == "HEAD" || code in WITHOUT_BODY -> ResponseBodyFraming.None
            encodings.isNotEmpty() -> ResponseBodyFraming.Chunked
            lengths.isNotEmpty() -> ResponseBodyFraming.Length(lengths.single().toLong())
            else -> ResponseBodyFraming.UntilClose
        }
    }

    private fun parseStatus(line: String): Int? {
        val version = VERSIONS.firstOrNull { line.startsWith(it) } ?: return null
        val code = line.substring(version.length).substringBefore(' ')
        return if (code.length == STATUS_DIGITS && code.all { it in '0'..'9' }) code.toInt() else null
    }

    /** Returns the value of the header on this line; null if it has another name than [name]. */
    private fun String.valueOf(name: String): String? =
        if (startsWith(name, ignoreCase = true) && getOrNull(name.length) == ':') substring(name.length + 1).trim(' ', '\t') else null

    private companion object {
        val VERSIONS = listOf("HTTP/1.1 ", "HTTP/1.0 ")
        const val STATUS_DIGITS = 3
        const val SWITCHING_PROTOCOLS = 101
        val INTERIM = 100..199
        val WITHOUT_BODY = setOf(204, 304)
    }
}
