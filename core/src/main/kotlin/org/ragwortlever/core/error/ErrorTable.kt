// Renders the table of error kinds for docs/errors.md.
package org.ragwortlever.core.error

/** Renders the error kinds as a Markdown page. */
fun renderErrorTable(): String =
    buildString {
        appendLine("# Errors")
        appendLine()
        appendLine("Refusals are RFC 9457 problem details (`application/problem+json`) with the members `kind`, `executed`,")
        appendLine("`retryAfterSeconds` and `requestId`. This page is rendered from the closed list in `ErrorKind`; a test fails")
        appendLine("when the two differ, and `mvn -B test -pl core -Dtest=ErrorTableTest -Drender=true` writes it anew.")
        appendLine()
        appendLine("| kind | status | meaning |")
        appendLine("| --- | --- | --- |")
        ErrorKind.entries.forEach { kind ->
            val answer = kind.answer()
            appendLine("| `${kind.code}` | ${answer.status} | ${answer.title} |")
        }
    }
