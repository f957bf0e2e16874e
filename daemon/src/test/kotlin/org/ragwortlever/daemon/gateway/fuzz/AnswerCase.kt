// A generated exchange: how a scripted server frames and spoils its answer, and what another server does after it.
package org.ragwortlever.daemon.gateway.fuzz

import io.kotest.property.Arb
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.int
import org.ragwortlever.core.answer.AnswerFraming

/** Route of the request; [path] is one of the fixture's. */
internal enum class CaseRoute(
    val path: String,
    val isStream: Boolean,
    val mayRepeat: Boolean,
) {
    ONCE("/once/7", isStream = false, mayRepeat = false),
    SAFE("/safe/7", isStream = false, mayRepeat = true),
    STREAM("/stream/7", isStream = true, mayRepeat = false),
    RESUMABLE("/resumable/7", isStream = true, mayRepeat = true),
}

/** How the first server spoils its answer. */
internal enum class Mutation {
    NONE,
    CUT_AND_CLOSE,
    CUT_AND_RESET,
    EARLIER_ANSWER_FIRST,
    EARLIER_REFUSAL_FIRST,
    EARLIER_REFUSAL_WITHOUT_ID_FIRST,
    EARLIER_MISDIRECTION_FIRST,
    REPEATED_AFTER_END,
    REPEATED_WITHIN_STREAM,
    INVALID_LINE_IN_HEAD,
    SECOND_LENGTH,
    BYTES_BEFORE_HEAD,
    SHORT_CHUNK_SIZE,
    BYTES_AFTER_CHUNK,
    REFUSAL,
    REFUSAL_REPEATED_LATE,
}

/** What another server does when it gets the request, or the rest of the stream. */
internal enum class NextServer {
    SOUND,
    ERROR,
    REFUSAL,
    NO_STREAM,
    NO_CONTENT,
    LATE_START,
    EARLY_START,
    CUT,
    CUT_AFTER_HEAD,
    ANSWER_TO_OTHER,
}

/** How the caller speaks HTTP. */
internal enum class CallerMode(
    val version: String,
    val connection: String,
) {
    KEEP_ALIVE("HTTP/1.1", "keep-alive"),
    CLOSE("HTTP/1.1", "close"),
    OLD("HTTP/1.0", "close"),
}

/**
 * One exchange.
 *
 * @property cut place of a cut or of inserted bytes, in thousandths of the answer.
 * @property eventsPerPacket events of a chunk and of a write.
 * @property isKept whether the request is sent on a connection that has served another one.
 */
internal data class AnswerCase(
    val route: CaseRoute,
    val framing: AnswerFraming,
    val mutation: Mutation,
    val next: NextServer,
    val caller: CallerMode,
    val cut: Int,
    val events: Int,
    val newline: Int,
    val eventsPerPacket: Int,
    val isKept: Boolean,
) {
    /**
     * Whether the first server refuses the request and does not run it. A refusal without an id counts only on a new
     * connection.
     */
    val isRefused: Boolean
        get() =
            when (mutation) {
                Mutation.REFUSAL, Mutation.REFUSAL_REPEATED_LATE -> true
                Mutation.EARLIER_REFUSAL_WITHOUT_ID_FIRST -> !isKept
                else -> false
            }

    val lineEnd: String get() = if (newline == 0) "\n" else "\r\n"
    val allEvents: List<String> get() = (1..events).map { "id: $it${lineEnd}data: text $it$lineEnd$lineEnd" }
}

internal fun answerCases(): Arb<AnswerCase> =
    Arb.bind(
        Arb.enum<CaseRoute>(),
        Arb.enum<AnswerFraming>(),
        Arb.enum<Mutation>(),
        Arb.enum<NextServer>(),
        Arb.enum<CallerMode>(),
        Arb.int(0..1000),
        Arb.int(1..6),
        Arb.int(0..1),
        Arb.int(1..3),
        Arb.int(0..3),
    ) { route, framing, mutation, next, caller, cut, events, newline, perPacket, kept ->
        AnswerCase(route, framing, mutation, next, caller, cut, events, newline, perPacket, isKept = kept != 0)
    }
