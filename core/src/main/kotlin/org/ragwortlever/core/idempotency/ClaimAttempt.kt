/*
 * Decides from the store's answers whether a non-idempotent call may be sent. It may be sent only after the store has
 * confirmed a claim with this request's id, so at most one request ever sends it.
 */
package org.ragwortlever.core.idempotency

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.serialization.json.Json
import org.ragwortlever.core.error.ErrorKind
import org.ragwortlever.core.error.Executed
import org.ragwortlever.core.error.Refusal
import org.ragwortlever.core.store.StoreEntry
import org.ragwortlever.core.store.StoreFailure
import org.ragwortlever.core.store.StoreRead
import org.ragwortlever.core.store.Transaction
import org.ragwortlever.core.store.TransactionResult
import kotlin.time.Instant

/** Next step for a claimed call. */
sealed interface ClaimDecision {
    /** Commit [transaction] and pass the result to [ClaimAttempt.onCommit]. */
    data class Commit(
        val transaction: Transaction,
    ) : ClaimDecision

    /** Read [key] and pass the result to [ClaimAttempt.onRead]. */
    data class Read(
        val key: String,
    ) : ClaimDecision

    /** Send the call exactly once. */
    data class Send(
        val claim: HeldClaim,
    ) : ClaimDecision

    /** Remove the claim and refuse the request, whatever the store answers to the removal. */
    data class Release(
        val claim: HeldClaim,
        val refusal: Refusal,
    ) : ClaimDecision

    /** Answer with the recorded outcome; the call has already run. */
    data class Replay(
        val outcome: RecordedOutcome,
    ) : ClaimDecision

    /** Answer with [refusal]; this request must not send the call. */
    data class Refuse(
        val refusal: Refusal,
    ) : ClaimDecision
}

/** Attempt of one request to claim [call] until [deadline]. Not thread-safe. */
class ClaimAttempt(
    private val call: ClaimedCall,
    private val deadline: Instant,
) {
    private var createAttempts = 0

    /** Returns the first step; refuses a key that is older than the claim retention, because its claim may have been removed. */
    fun start(now: Instant): ClaimDecision {
        val expiry = call.key.expiry(call.retention)
        if (expiry != null && expiry <= now) {
            val detail = "header $IDEMPOTENCY_KEY_HEADER: the key is older than ${call.retention}, so a call under it may have run"
            return ClaimDecision.Refuse(Refusal(ErrorKind.IDEMPOTENCY_KEY_EXPIRED, detail))
        }
        return create(now)
    }

    /** Returns the step after the store's answer to a [ClaimDecision.Commit]. */
    fun onCommit(
        result: Result<TransactionResult, StoreFailure>,
        now: Instant,
    ): ClaimDecision =
        result.fold(
            success = {
                when (it) {
                    is TransactionResult.Committed -> confirmed(it.revision, now)
                    TransactionResult.ConditionFailed -> read(now)
                }
            },
            failure = {
                when (it) {
                    is StoreFailure.NotSent -> refuseUnavailable(it.reason)
                    // The claim may have been created or may still be created: only a read shows which request holds it.
                    is StoreFailure.NoAnswer -> read(now)
                }
            },
        )

    /** Returns the step after the store's answer to a [ClaimDecision.Read]. */
    fun onRead(
        result: Result<StoreRead, StoreFailure>,
        now: Instant,
    ): ClaimDecision =
        result.fold(
            success = { read -> read.entries.firstOrNull()?.let { evaluate(it, now) } ?: create(now) },
            failure = { refuseUnavailable(it.toString()) },
        )

    private fun create(now: Instant): ClaimDecision {
        if (now >= deadline || createAttempts == MAXIMUM_CREATE_ATTEMPTS) return refuseUnavailable("the claim was not confirmed in time")
        createAttempts++
        return ClaimDecision.Commit(call.createTransaction())
    }

    private fun read(now: Instant): ClaimDecision =
        if (now >= deadline) refuseUnavailable("the claim was not confirmed in time") else ClaimDecision.Read(call.storeKey)

    private fun evaluate(
        entry: StoreEntry,
        now: Instant,
    ): ClaimDecision {
        val record = Json.decodeFromString<ClaimRecord>(entry.value)
        val outcome = record.outcome
        return when {
            record.requestId == call.requestId -> confirmed(entry.createRevision, now)
            record.digest != call.digest -> ClaimDecision.Refuse(keyReusedRefusal())
            outcome != null -> ClaimDecision.Replay(outcome)
            else -> ClaimDecision.Refuse(outcomeUnknownRefusal(record))
        }
    }

    private fun confirmed(
        createRevision: Long,
        now: Instant,
    ): ClaimDecision {
        val claim = HeldClaim(call, createRevision)
        if (now < deadline) return ClaimDecision.Send(claim)
        val detail = "the claim was confirmed after the wait of the call's class"
        return ClaimDecision.Release(claim, Refusal(ErrorKind.WAIT_EXCEEDED, detail, retryAfterSeconds = RETRY_AFTER_SECONDS))
    }

    private fun refuseUnavailable(reason: String): ClaimDecision {
        val detail = "this request was not sent: $reason; repeat it with the same key, since an earlier one may have run"
        return ClaimDecision.Refuse(Refusal(ErrorKind.CLAIM_UNAVAILABLE, detail, retryAfterSeconds = RETRY_AFTER_SECONDS))
    }

    private fun keyReusedRefusal(): Refusal {
        val detail = "header $IDEMPOTENCY_KEY_HEADER: the key was used for a request with another method, path or body"
        return Refusal(ErrorKind.IDEMPOTENCY_KEY_REUSED, detail)
    }

    private fun outcomeUnknownRefusal(record: ClaimRecord): Refusal {
        val detail = "request ${record.requestId} has claimed the call and no outcome is recorded"
        return Refusal(ErrorKind.OUTCOME_UNKNOWN, detail, Executed.UNKNOWN, RETRY_AFTER_SECONDS)
    }

    private companion object {
        // The second attempt covers one lost message; more attempts would add load to a store that is already failing.
        const val MAXIMUM_CREATE_ATTEMPTS = 2
        const val RETRY_AFTER_SECONDS = 5
    }
}
