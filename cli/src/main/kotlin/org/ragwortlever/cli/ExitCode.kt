// The exit codes of the command-line tool.
package org.ragwortlever.cli

/**
 * The outcome of a command, as scripts see it.
 *
 * @property SUCCESS the command succeeded.
 * @property FAILURE the command failed for another reason than those below.
 * @property USAGE_ERROR an option or an argument is invalid.
 * @property CONFLICT somebody else has changed the same section of the configuration.
 * @property UNREACHABLE the entry VM sent no response.
 * @property value exit code of the process.
 */
internal enum class ExitCode(
    val value: Int,
) {
    SUCCESS(0),
    FAILURE(1),
    USAGE_ERROR(2),
    CONFLICT(3),
    UNREACHABLE(4),
}
