// Renders the tables of docs/errors.md.
package org.ragwortlever.core.error

import org.ragwortlever.core.answer.renderAnswerUseTable

/** Renders the error kinds, and what becomes of the answers of backend servers, as a Markdown page. */
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
        appendLine()
        appendLine("## What becomes of a backend server's answer")
        appendLine()
        appendLine("By how the answer to a routed request ended, whether the caller has got events of it, and how often the request")
        appendLine("may run. A complete answer with a status of 500 or above is also retried where the request may run again.")
        appendLine()
        append(renderAnswerUseTable())
    }
