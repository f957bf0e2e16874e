// Claims calls in the store and records their outcomes; carries out what ClaimAttempt decides.
package org.ragwortlever.daemon.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import io.github.oshai.kotlinlogging.KotlinLogging
import org.ragwortlever.core.error.Refusal
import org.ragwortlever.core.idempotency.ClaimAttempt
import org.ragwortlever.core.idempotency.ClaimDecision
import org.ragwortlever.core.idempotency.ClaimedCall
import org.ragwortlever.core.idempotency.HeldClaim
import org.ragwortlever.core.idempotency.RecordedOutcome
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.core.store.Transaction
import org.ragwortlever.daemon.platform.KeyValueStore
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Instant

/** What a claim allows. */
internal sealed interface ClaimResult {
    data class Held(
        val claim: HeldClaim,
    ) : ClaimResult

    data class AlreadyExecuted(
        val outcome: RecordedOutcome,
    ) : ClaimResult
}

internal class CallClaims(
    private val store: KeyValueStore,
    private val now: () -> Instant,
) : AutoCloseable {
    private val retryExecutor = Executors.newScheduledThreadPool(1) { task -> Thread(task, "claim-outcomes").apply { isDaemon = true } }

    /** Claims [call]; blocks for at most four calls to the store. */
    fun claim(
        call: ClaimedCall,
        deadline: Instant,
    ): Result<ClaimResult, Refusal> {
        val attempt = ClaimAttempt(call, deadline)
        var decision = attempt.start(now())
        while (true) {
            when (val current = decision) {
                is ClaimDecision.Commit -> {
                    decision = attempt.onCommit(store.commit(current.transaction), now())
                }
                is ClaimDecision.Read -> {
                    decision = attempt.onRead(store.read(current.key), now())
                }
                is ClaimDecision.Send -> {
                    return Ok(ClaimResult.Held(current.claim))
                }
                is ClaimDecision.Replay -> {
                    return Ok(ClaimResult.AlreadyExecuted(current.outcome))
                }
                is ClaimDecision.Refuse -> {
                    return Err(current.refusal)
                }
                is ClaimDecision.Release -> {
                    release(current.claim)
                    return Err(current.refusal)
                }
            }
        }
    }

    /** Records the outcome of a call that has run. */
    fun complete(
        claim: HeldClaim,
        outcome: RecordedOutcome,
    ) = write(claim, claim.complete(outcome), WRITE_ATTEMPTS)

    /** Gives up the claim of a call of which no byte was sent. */
    fun release(claim: HeldClaim) = write(claim, claim.release(), WRITE_ATTEMPTS)

    override fun close() {
        retryExecutor.shutdown()
    }

    /** Writes on this thread once, so that a repeat right after the answer finds the outcome, and later in the background. */
    private fun write(
        claim: HeldClaim,
        transaction: Transaction,
        attemptsLeft: Int,
    ) {
        store.commit(transaction).onFailure { failure ->
            logger.warn {
                eventLine("claim-write-failed", "request" to claim.call.requestId, "error" to failure, "left" to attemptsLeft - 1)
            }
            if (attemptsLeft <= 1 || retryExecutor.isShutdown) return
            retryExecutor.schedule({ write(claim, transaction, attemptsLeft - 1) }, WRITE_RETRY_DELAY_SECONDS, TimeUnit.SECONDS)
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        // About three minutes with the store's call timeout of 2 s; after that the claim stays without an outcome.
        const val WRITE_ATTEMPTS = 60
        const val WRITE_RETRY_DELAY_SECONDS = 1L
    }
}
