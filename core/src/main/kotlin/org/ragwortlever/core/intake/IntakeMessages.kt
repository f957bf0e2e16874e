// What the intake control decides.
package org.ragwortlever.core.intake

/** Identifies a connection on this entry VM; never reused. */
@JvmInline
value class ConnectionId(
    val number: Long,
)

/** Whether a connection, or more bytes of one, are accepted. */
sealed interface IntakeDecision {
    val closed: List<ConnectionId>

    /** Accepted; the connections [closed] have to be closed to make room. */
    data class Accepted(
        override val closed: List<ConnectionId> = emptyList(),
    ) : IntakeDecision

    /**
     * There is no room, and no connection stands still that could be closed instead. The connections [closed] have to be
     * closed nevertheless.
     */
    data class Full(
        override val closed: List<ConnectionId> = emptyList(),
    ) : IntakeDecision
}

/** Why a connection is closed before its client has closed it. */
enum class CloseReason(
    val code: String,
) {
    REQUEST_STALLED("request-stalled"),
    HEAD_TOO_SLOW("head-too-slow"),
    RESPONSE_STALLED("response-stalled"),
    ROOM_NEEDED("room-needed"),
}

/** A connection that has to be closed. */
data class ExpiredConnection(
    val id: ConnectionId,
    val reason: CloseReason,
)

/** Why a request is refused before it has been received in full. */
enum class RequestRejection(
    val code: String,
) {
    BODY_TOO_LARGE("body-too-large"),
    MALFORMED_BODY("malformed-body"),
    NO_ROOM("no-room"),
}
