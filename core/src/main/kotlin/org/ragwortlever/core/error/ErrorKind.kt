/*
 * The closed list of error kinds, and the HTTP status and title that callers get for each kind.
 * docs/errors.md is rendered from this table; a test fails when the two differ.
 */
package org.ragwortlever.core.error

/** Kind of an error. [code] is the value of `kind` in the response and never changes. */
enum class ErrorKind(
    val code: String,
) {
    MALFORMED_REQUEST("malformed-request"),
    UNKNOWN_CLASS("unknown-class"),
    UNKNOWN_MODEL("unknown-model"),
    MISSING_KEY("missing-key"),
    INVALID_KEY("invalid-key"),
    CLASS_NOT_ALLOWED("class-not-allowed"),
    NOT_FOUND("not-found"),
    METHOD_NOT_ALLOWED("method-not-allowed"),
    BODY_TOO_LARGE("body-too-large"),
    NO_ROOM("no-room"),
    ACCOUNT_LIMIT_EXCEEDED("account-limit-exceeded"),
    WAIT_EXCEEDED("wait-exceeded"),
    NO_BACKEND_SERVER("no-backend-server"),
    BACKEND_SERVER_FAILED("backend-server-failed"),
    BACKEND_SERVER_SILENT("backend-server-silent"),
    REQUEST_CRASHES_SERVERS("request-crashes-servers"),
    REQUEST_QUARANTINED("request-quarantined"),
    CLAIM_UNAVAILABLE("claim-unavailable"),
    OUTCOME_UNKNOWN("outcome-unknown"),
    IDEMPOTENCY_KEY_REUSED("idempotency-key-reused"),
    IDEMPOTENCY_KEY_EXPIRED("idempotency-key-expired"),
    CONFIGURATION_STALE("configuration-stale"),
    STORE_UNAVAILABLE("store-unavailable"),
    REVISION_CONFLICT("revision-conflict"),
    INVALID_CONFIGURATION("invalid-configuration"),
    STOPPING("stopping"),
    CALLER_GONE("caller-gone"),
    INTERNAL("internal"),
}

/** HTTP status and human-readable title of an [ErrorKind]. */
data class ErrorAnswer(
    val status: Int,
    val title: String,
)

/** Returns the status and title of this kind. */
fun ErrorKind.answer(): ErrorAnswer =
    when (this) {
        ErrorKind.MALFORMED_REQUEST -> ErrorAnswer(400, "The request is not well-formed")
        ErrorKind.UNKNOWN_CLASS -> ErrorAnswer(400, "The request class does not exist")
        ErrorKind.UNKNOWN_MODEL -> ErrorAnswer(400, "The model does not exist or is not offered to this class")
        ErrorKind.MISSING_KEY -> ErrorAnswer(401, "No key was sent")
        ErrorKind.INVALID_KEY -> ErrorAnswer(401, "The key is unknown or withdrawn")
        ErrorKind.CLASS_NOT_ALLOWED -> ErrorAnswer(403, "The client account may not use this request class")
        ErrorKind.NOT_FOUND -> ErrorAnswer(404, "There is nothing at this address")
        ErrorKind.METHOD_NOT_ALLOWED -> ErrorAnswer(405, "The method is not allowed at this address")
        ErrorKind.BODY_TOO_LARGE -> ErrorAnswer(413, "The request body exceeds the limit")
        ErrorKind.NO_ROOM -> ErrorAnswer(503, "The entry VM has no room for the request")
        ErrorKind.ACCOUNT_LIMIT_EXCEEDED -> ErrorAnswer(429, "The client account has reached its limit")
        ErrorKind.WAIT_EXCEEDED -> ErrorAnswer(503, "The request cannot start within its class's wait")
        ErrorKind.NO_BACKEND_SERVER -> ErrorAnswer(503, "No backend server can take the request")
        ErrorKind.BACKEND_SERVER_FAILED -> ErrorAnswer(502, "The backend server failed")
        ErrorKind.BACKEND_SERVER_SILENT -> ErrorAnswer(504, "The backend server stopped answering")
        ErrorKind.REQUEST_CRASHES_SERVERS -> ErrorAnswer(422, "This request has crashed backend servers and is no longer run")
        ErrorKind.REQUEST_QUARANTINED -> ErrorAnswer(503, "Equal requests have crashed backend servers; it is not run for now")
        ErrorKind.CLAIM_UNAVAILABLE -> ErrorAnswer(503, "The call could not be claimed and was not sent")
        ErrorKind.OUTCOME_UNKNOWN -> ErrorAnswer(502, "The call may have run; its outcome is unknown")
        ErrorKind.IDEMPOTENCY_KEY_REUSED -> ErrorAnswer(422, "The idempotency key belongs to a different request")
        ErrorKind.IDEMPOTENCY_KEY_EXPIRED -> ErrorAnswer(422, "The idempotency key is older than the claim retention")
        ErrorKind.CONFIGURATION_STALE -> ErrorAnswer(503, "This entry VM cannot prove that its configuration is current")
        ErrorKind.STORE_UNAVAILABLE -> ErrorAnswer(503, "The platform's key-value service does not answer")
        ErrorKind.REVISION_CONFLICT -> ErrorAnswer(409, "The section has a newer revision")
        ErrorKind.INVALID_CONFIGURATION -> ErrorAnswer(422, "The configuration breaks a rule")
        ErrorKind.STOPPING -> ErrorAnswer(503, "This entry VM is stopping")
        ErrorKind.CALLER_GONE -> ErrorAnswer(499, "The caller closed its connection before the answer")
        ErrorKind.INTERNAL -> ErrorAnswer(500, "The entry VM failed")
    }
