// Renders what becomes of the answers of backend servers, for docs/errors.md.
package org.ragwortlever.core.answer

/** Renders the uses of all ends as a Markdown table. */
fun renderAnswerUseTable(): String =
    buildString {
        val ends = listOf(AnswerEnd.Complete(AnswerFraming.LENGTH), AnswerEnd.Refused, AnswerEnd.BrokenOff)
        appendLine("| end of the answer | events sent | ${Repetition.entries.joinToString(" | ") { it.label }} |")
        appendLine("| --- | --- |${" --- |".repeat(Repetition.entries.size)}")
        for (end in ends) {
            for (hasSentEvents in listOf(false, true)) {
                val uses = Repetition.entries.map { it.describeUse(end, hasSentEvents) }
                appendLine("| ${end.describe()} | ${if (hasSentEvents) "yes" else "no"} | ${uses.joinToString(" | ")} |")
            }
        }
    }

private fun AnswerEnd.describe() =
    when (this) {
        is AnswerEnd.Complete -> "complete (by length, last chunk or close)"
        AnswerEnd.Refused -> "refused: this request did not run"
        AnswerEnd.BrokenOff, AnswerEnd.Foreign, AnswerEnd.Malformed, AnswerEnd.TooLong -> "broken off, foreign, malformed or too long"
    }

private fun Repetition.describeUse(
    end: AnswerEnd,
    hasSentEvents: Boolean,
): String {
    val isStream = this == Repetition.STREAM || this == Repetition.RESUMABLE_STREAM
    return if (hasSentEvents && !isStream) "" else end.use(this, hasSentEvents).label
}
