/*
 * What may be done after an answer has ended. Only a complete answer is forwarded as complete, and only a refusal of this
 * very request is passed on as "not run".
 */
package org.ragwortlever.core.answer

import org.ragwortlever.core.route.Route
import org.ragwortlever.core.route.RouteKind

/** How often a request may run, as its route allows. */
enum class Repetition(
    val label: String,
) {
    AT_MOST_ONCE("at most once"),
    IDEMPOTENT("idempotent"),
    STREAM("stream"),
    RESUMABLE_STREAM("resumable stream"),
}

/** How often requests on this route may run. */
val Route.repetition: Repetition
    get() =
        when (kind) {
            RouteKind.AT_MOST_ONCE -> Repetition.AT_MOST_ONCE
            RouteKind.IDEMPOTENT -> Repetition.IDEMPOTENT
            RouteKind.STREAM -> if (isResumable) Repetition.RESUMABLE_STREAM else Repetition.STREAM
        }

/** What may be done after an answer has ended. [label] is the name in the documents. */
enum class AnswerUse(
    val label: String,
) {
    /** The caller gets the answer as a complete one. */
    FORWARD("forward"),

    /** Another server may run the request from its beginning; the caller is told "not run" if none can. */
    SEND_ELSEWHERE("another server, else \"not run\""),

    /** Another server may run the request from its beginning; the caller is told "outcome unknown" if none can. */
    RETRY("another server, else \"unknown\""),

    /** Another server may continue the stream; the caller's connection is cut if none can. */
    RESUME("resume elsewhere, else cut"),

    /** The caller is told that the request may have run. */
    REFUSE_UNKNOWN("\"unknown\""),

    /** The caller has a part of the answer, so its connection is cut. */
    CUT("cut"),
}

/**
 * What may be done after an answer to a request with this [repetition] has ended like this.
 *
 * @param hasSentEvents whether the caller has got events of the stream.
 */
fun AnswerEnd.use(
    repetition: Repetition,
    hasSentEvents: Boolean,
): AnswerUse =
    when (this) {
        is AnswerEnd.Complete -> {
            AnswerUse.FORWARD
        }
        AnswerEnd.Refused -> {
            if (hasSentEvents) useAfterEvents(repetition) else AnswerUse.SEND_ELSEWHERE
        }
        AnswerEnd.BrokenOff, AnswerEnd.Foreign, AnswerEnd.Malformed, AnswerEnd.TooLong -> {
            if (hasSentEvents) useAfterEvents(repetition) else useBeforeEvents(repetition)
        }
    }

private fun useAfterEvents(repetition: Repetition): AnswerUse =
    when (repetition) {
        Repetition.RESUMABLE_STREAM -> AnswerUse.RESUME
        Repetition.STREAM, Repetition.AT_MOST_ONCE, Repetition.IDEMPOTENT -> AnswerUse.CUT
    }

private fun useBeforeEvents(repetition: Repetition): AnswerUse =
    when (repetition) {
        Repetition.IDEMPOTENT, Repetition.RESUMABLE_STREAM -> AnswerUse.RETRY
        Repetition.AT_MOST_ONCE, Repetition.STREAM -> AnswerUse.REFUSE_UNKNOWN
    }
