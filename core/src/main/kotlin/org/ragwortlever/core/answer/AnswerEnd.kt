/*
 * How the answer of a backend server to an attempt ended. Every reader of an answer gives one of these ends; AnswerUse
 * says what may be done after each.
 */
package org.ragwortlever.core.answer

/** How an answer ended. [label] is the name in logs and metrics. */
sealed interface AnswerEnd {
    val label: String

    /** All of the answer has arrived; [framing] proves it. A stream has also ended after a complete event. */
    data class Complete(
        val framing: AnswerFraming,
    ) : AnswerEnd {
        override val label get() = "complete-by-${framing.label}"
    }

    /** The server has stated, in an answer to this request, that it did not run it. */
    data object Refused : AnswerEnd {
        override val label get() = "refused"
    }

    /** The answer stopped before its end: the connection was closed or reset, the time was up, or an event is incomplete. */
    data object BrokenOff : AnswerEnd {
        override val label get() = "broken-off"
    }

    /** The answer belongs to another request, or nothing shows that it belongs to this one. */
    data object Foreign : AnswerEnd {
        override val label get() = "foreign"
    }

    /** The answer breaks the protocol, so its content and its end can't be relied on. */
    data object Malformed : AnswerEnd {
        override val label get() = "malformed"
    }

    /** The answer or an event of it exceeded its size limit. */
    data object TooLong : AnswerEnd {
        override val label get() = "too-long"
    }
}
