package org.ragwortlever.daemon.idempotency

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getOrElse
import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.ragwortlever.core.error.ErrorKind
import org.ragwortlever.core.error.Executed
import org.ragwortlever.core.idempotency.ClaimAttempt
import org.ragwortlever.core.idempotency.ClaimDecision
import org.ragwortlever.core.idempotency.ClaimedCall
import org.ragwortlever.core.idempotency.IdempotencyKey
import org.ragwortlever.core.store.StoreFailure
import org.ragwortlever.core.store.TransactionResult
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

@OptIn(ExperimentalKotest::class)
class AtMostOnceTest {
    // Checks for claimed calls that none runs twice (H10), that none is reported as not run although it ran (H9), and that
    // no caller gets the outcome of another call (H8).
    @Test
    fun `given late and lost messages and restarts, when calls are repeated, then none runs twice or is refused as not run after a run`() {
        var executed = 0
        var replayed = 0
        println("seed=$SEED schedules=$SCHEDULES")
        runBlocking {
            checkAll(PropTestConfig(seed = SEED, iterations = SCHEDULES), Arb.long()) { seed ->
                val simulation = ClaimSimulation(seed).apply { run() }
                simulation.runs.forEach { (key, requests) ->
                    expectThat(requests).describedAs("runs of $key with seed $seed").get { size }.isLessThanOrEqualTo(1)
                }
                val ran = simulation.runs.values.flatten()
                simulation.callerResults.forEach { (request, result) ->
                    if (result == CallerResult.Refused(Executed.NO)) {
                        expectThat(request in ran).describedAs("$request ran but was refused as not run, seed $seed").isEqualTo(false)
                    }
                    if (result is CallerResult.Answered) {
                        expectThat(result.outcome).isEqualTo(simulation.outcomes[simulation.keys[request]])
                        if (request !in ran) replayed++
                    }
                }
                executed += ran.size
            }
        }
        println("runs=$executed replays=$replayed")
        expectThat(executed).isGreaterThan(SCHEDULES)
        expectThat(replayed).isGreaterThan(SCHEDULES / 10)
    }

    // Guards against a second run of a call after the claim of its first run has expired and been removed.
    @Test
    fun `given a UUID of version 7 older than the retention, when it is claimed, then it is refused before any store call`() {
        val key = IdempotencyKey.parse("018cc251-f400-7000-8000-000000000000").getOrElse { error(it.detail) }
        val created = Instant.parse("2024-01-01T00:00:00Z")
        expectThat(key.createdAt).isEqualTo(created)
        val justBefore = created + 1.hours - 1.milliseconds
        expectThat(attempt(key, justBefore).start(justBefore)).isA<ClaimDecision.Commit>()
        val refused = attempt(key, created).start(created + 1.hours)
        expectThat(refused).isA<ClaimDecision.Refuse>().get { refusal.kind }.isEqualTo(ErrorKind.IDEMPOTENCY_KEY_EXPIRED)
    }

    // Guards against a call that is sent after the wait after which its caller must be refused.
    @Test
    fun `given a claim confirmed after the wait, when the attempt decides, then the claim is released and refused as not run`() {
        val start = Instant.fromEpochSeconds(0)
        val attempt = attempt(IdempotencyKey("key", null), start)
        attempt.start(start)
        val late = attempt.onCommit(Ok(TransactionResult.Committed(7)), start + 5.seconds)
        expectThat(late).isA<ClaimDecision.Release>().get { refusal.executed }.isEqualTo(Executed.NO)
    }

    // Guards against sending a call without a claim while the store is down.
    @Test
    fun `given a store that does not answer, when a call is claimed, then it is refused as not run`() {
        val start = Instant.fromEpochSeconds(0)
        val attempt = attempt(IdempotencyKey("key", null), start)
        attempt.start(start)
        expectThat(attempt.onCommit(Err(StoreFailure.NoAnswer("timeout")), start)).isA<ClaimDecision.Read>()
        val refused = attempt.onRead(Err(StoreFailure.NoAnswer("timeout")), start)
        expectThat(refused).isA<ClaimDecision.Refuse>().get { refusal.kind to refusal.executed }
            .isEqualTo(ErrorKind.CLAIM_UNAVAILABLE to Executed.NO)
    }

    private fun attempt(
        key: IdempotencyKey,
        now: Instant,
    ) = ClaimAttempt(ClaimedCall("account", "orders", key, "digest", "request", "vm", 1, 1.hours), now + 5.seconds)

    private companion object {
        const val SEED = 20_261_204L
        const val SCHEDULES = 2_000
    }
}
