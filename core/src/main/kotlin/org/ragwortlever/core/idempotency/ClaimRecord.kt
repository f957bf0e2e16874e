// What the store holds of a claimed call, and the transactions that create, complete and remove it.
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

/** Longest answer body that is kept with a claim, in bytes; the store accepts values up to 1 MB. */
const val MAXIMUM_RECORDED_BODY_BYTES: Int = 16 * 1024

/**
 * The service's answer to a claimed call.
 *
 * @property body the body in base64; null when it was longer than [MAXIMUM_RECORDED_BODY_BYTES] and was not kept.
 */
@Serializable
data class RecordedOutcome(
    val status: Int,
    val contentType: String?,
    val body: String?,
)

/**
 * A claim as the store holds it.
 *
 * @property digest digest of the request, so that another request under the same key is recognised.
 * @property requestId the one request that may send the call.
 * @property expiresAt when the claim may be removed; null when it must be kept.
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
 * A non-idempotent call with a key.
 *
 * @property account the client account, or `route:<id>` on an open route.
 * @property retention how long the service's claims are kept.
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
    /** Key of the claim in the store. */
    val storeKey: String
        get() {
            // JSON quotes the parts, so that no two triples are written alike.
            val name = JsonArray(listOf(account, service, key.value).map(::JsonPrimitive)).toString()
            return CLAIMS_PREFIX + sha256Hex(name.toByteArray())
        }

    internal fun toRecord(outcome: RecordedOutcome? = null) =
        ClaimRecord(digest, requestId, node, incarnation, key.expiry(retention), outcome)
}

/** A claim that this entry VM holds; [createRevision] tells it from any other claim under the same key. */
data class HeldClaim(
    val call: ClaimedCall,
    val createRevision: Long,
) {
    /** Writes the outcome of the call to the claim. */
    fun complete(outcome: RecordedOutcome): Transaction =
        Transaction(ownershipConditions(), listOf(Write.Put(call.storeKey, Json.encodeToString(call.toRecord(outcome)))))

    /** Removes the claim of a call of which no byte has been sent, so that a repeat may run. */
    fun release(): Transaction = Transaction(ownershipConditions(), listOf(Write.Delete(call.storeKey)))

    private fun ownershipConditions() = listOf(Condition.CreatedAt(call.storeKey, createRevision))
}

internal fun ClaimedCall.createTransaction(): Transaction =
    Transaction(listOf(Condition.Absent(storeKey)), listOf(Write.Put(storeKey, Json.encodeToString(toRecord()))))

private const val CLAIMS_PREFIX = "/ragwortlever/claims/"
