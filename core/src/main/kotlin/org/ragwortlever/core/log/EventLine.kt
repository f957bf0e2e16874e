// Formats an event as one line of key=value pairs that tools can search and parse.
package org.ragwortlever.core.log

/**
 * Formats the event [name] with [fields] in the given order, without those whose value is null. An empty value, or one
 * with a space, a quote, a backslash, an equals sign or a control character, is quoted.
 */
fun eventLine(
    name: String,
    vararg fields: Pair<String, Any?>,
): String =
    buildString {
        append("event=").append(name)
        fields.forEach { (key, value) ->
            if (value != null) append(' ').append(key).append('=').append(value.toString().quotedIfNeeded())
        }
    }

private fun String.quotedIfNeeded(): String {
    if (isNotEmpty() && all { it > ' ' && it !in QUOTED_CHARACTERS }) return this
    return buildString {
        append('"')
        this@quotedIfNeeded.forEach { append(it.escaped()) }
        append('"')
    }
}

private fun Char.escaped(): String =
    when {
        this == '"' || this == '\\' -> "\\$this"
        this == '\n' -> "\\n"
        this < ' ' || this == '\u007f' -> "\\u%04x".format(code)
        else -> toString()
    }

private const val QUOTED_CHARACTERS = "\"=\\\u007f"
