// How a backend server marks the end of an answer's body.
package org.ragwortlever.core.answer

/** How the end of a body is recognized. [label] is the name in logs and metrics. */
enum class AnswerFraming(
    val label: String,
) {
    /** The head gives the number of bytes, or the answer has no body. */
    LENGTH("length"),

    /** The body comes in chunks, of which the last is empty. */
    CHUNKS("chunks"),

    /** The body ends when the server closes the connection without a reset. */
    CLOSE("close"),
}
