// Exit codes of the command-line tool.
package org.ragwortlever.cli

/** What a script can tell from the exit code. */
internal enum class ExitCode(
    val value: Int,
) {
    SUCCESS(0),
    FAILURE(1),
    USAGE_ERROR(2),
    CONFLICT(3),
    UNREACHABLE(4),
}
