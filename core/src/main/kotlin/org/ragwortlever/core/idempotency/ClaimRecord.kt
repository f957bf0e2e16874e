// Claim of a non-idempotent call in the store, and the transactions that create, complete and remove it.
package org.ragwortlever.core.idempotency

import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonPrimitive
import org.ragwortlever.core.key.sha256Hex
import org.ragwortlever.core.store.Condition
import org.ragwortlever.core.store.Transaction
import org.ragwortlever.core.store.Write
import kotlin.time.Duration
import kotlin.time.Instant

/** Maximum size of a response body that is kept with a claim, in bytes. The store accepts values of up to 1 MB. */
const val MAXIMUM_RECORDED_BODY_BYTES: Int = 16 * 1024

/**
 * Response of the service to a claimed call.
 *
 * @property status HTTP status code.
 * @property body response body in base64; null if it was longer than [MAXIMUM_RECORDED_BODY_BYTES] and was not kept.
 */
@Serializable
data class RecordedOutcome(
    val status: Int,
    val contentType: String?,
    val body: String?,
)

/**
 * Claim as stored.
 *
 * @property digest digest of the request; detects a different request with the same key.
 * @property requestId id of the only request that may send the call.
 * @property expiresAt when the claim may be removed; null if it must be kept.
 * @property outcome recorded response; null until the call has completed.
 */
@Serializable
data class ClaimRecord(
    val digest: String,
    val requestId: String,
    val node: String,
    val incarnation: Long,
    val expiresAt: Instant? = null,
    val outcome: RecordedOutcome? = null,
)

/**
 * Non-idempotent call with an idempotency key.
 *
 * @property account client account, or `route:<id>` on an open route.
 * @property digest digest of the request; detects a different request with the same key.
 * @property retention how long claims of the service are kept.
 */
data class ClaimedCall(
    val account: String,
    val service: String,
    val key: IdempotencyKey,
    val digest: String,
    val requestId: String,
    val node: String,
    val incarnation: Long,
    val retention: Duration,
) {
    /** Store key of the claim. */
    val storeKey: String
        get() {
            // JSON quotes the three parts, so that different triples never give the same text.
            val name = JsonArray(listOf(account, service, key.value).map(::JsonPrimitive)).toString()
            return CLAIMS_PREFIX + sha256Hex(name.toByteArray())
        }

    internal fun toRecord(outcome: RecordedOutcome? = null) =
        ClaimRecord(digest, requestId, node, incarnation, key.expiry(retention), outcome)
}

/** Claim that this entry VM holds; [createRevision] distinguishes it from any other claim with the same key. */
data class HeldClaim(
    val call: ClaimedCall,
    val createRevision: Long,
) {
    /** Returns the transaction that records the outcome of the call in the claim. */
    fun complete(outcome: RecordedOutcome): Transaction =
        Transaction(ownershipConditions(), listOf(Write.Put(call.storeKey, Json.encodeToString(call.toRecord(outcome)))))

    /** Returns the transaction that removes the claim of a call of which no byte was sent, so that a repeat may run. */
    fun release(): Transaction = Transaction(ownershipConditions(), listOf(Write.Delete(call.storeKey)))

    private fun ownershipConditions() = listOf(Condition.CreatedAt(call.storeKey, createRevision))
}

internal fun ClaimedCall.createTransaction(): Transaction =
    Transaction(listOf(Condition.Absent(storeKey)), listOf(Write.Put(storeKey, Json.encodeToString(toRecord()))))

private const val CLAIMS_PREFIX = "/ragwortlever/claims/"
