// Checks the lines of heads and trailers that hold a name and a value (RFC 9112, section 5).
package org.ragwortlever.http

/** Whether this is a sound field line, without its line end: a token, a colon, and a value without control bytes. */
internal fun String.isFieldLine(): Boolean {
    val colon = indexOf(':')
    return colon >= 0 && substring(0, colon).isToken() && substring(colon + 1).none { it.isForbiddenInValue() }
}

/** Whether this is a token (RFC 9110, section 5.6.2), such as the name of a field. */
internal fun String.isToken() = isNotEmpty() && all { it in 'a'..'z' || it in 'A'..'Z' || it in '0'..'9' || it in TOKEN_SYMBOLS }

private fun Char.isForbiddenInValue() = (this < ' ' && this != '\t') || this == '\u007f'

private const val TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~"
