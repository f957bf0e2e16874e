// Simulation of claimed calls in virtual time: messages between entry VMs, the store and a service are late or lost at random.
package org.ragwortlever.daemon.idempotency

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.ragwortlever.core.error.Executed
import org.ragwortlever.core.idempotency.ClaimAttempt
import org.ragwortlever.core.idempotency.ClaimDecision
import org.ragwortlever.core.idempotency.ClaimedCall
import org.ragwortlever.core.idempotency.HeldClaim
import org.ragwortlever.core.idempotency.IdempotencyKey
import org.ragwortlever.core.idempotency.RecordedOutcome
import org.ragwortlever.core.store.StoreFailure
import org.ragwortlever.standins.platform.StoreMachine
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Response that the caller of a request received. */
internal sealed interface CallerResult {
    data class Refused(
        val executed: Executed,
    ) : CallerResult

    data class Answered(
        val outcome: RecordedOutcome,
    ) : CallerResult
}

/**
 * One random schedule.
 *
 * @property runs ids of the requests that the service ran, by idempotency key.
 * @property callerResults response to each request, by request id.
 * @property outcomes outcome of the last run, by idempotency key.
 * @property keys idempotency key of each request, by request id.
 */
internal class ClaimSimulation(
    seed: Long,
) {
    private val random = Random(seed)
    private val store = StoreMachine()
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private var now = Instant.fromEpochSeconds(0)
    private var order = 0L
    private val incarnations = HashMap<Int, Long>()
    val runs = HashMap<String, MutableList<String>>()
    val callerResults = HashMap<String, CallerResult>()
    val outcomes = HashMap<String, RecordedOutcome>()
    val keys = HashMap<String, String>()

    fun run() {
        repeat(REQUESTS) { number ->
            after(random.nextInt(ARRIVALS_MILLISECONDS).milliseconds) { startRequest("request-$number") }
        }
        repeat(random.nextInt(RESTARTS)) {
            after(random.nextInt(ARRIVALS_MILLISECONDS).milliseconds) { incarnations.merge(random.nextInt(NODES), 1, Long::plus) }
        }
        while (true) {
            val event = events.poll() ?: return
            now = event.at
            event.action()
        }
    }

    private fun startRequest(requestId: String) {
        val node = random.nextInt(NODES)
        val key = "key-${random.nextInt(KEYS)}"
        val digest = if (random.nextInt(10) == 0) "other" else "same"
        keys[requestId] = key
        val incarnation = incarnations[node] ?: 0
        val call = ClaimedCall("account", "orders", IdempotencyKey(key, null), digest, requestId, "vm-$node", incarnation, 1.hours)
        Process(call, node, incarnation).start()
    }

    private inner class Process(
        private val call: ClaimedCall,
        private val node: Int,
        private val incarnation: Long,
    ) {
        private val attempt = ClaimAttempt(call, now + 10.seconds)

        fun start() = execute(attempt.start(now))

        private fun execute(decision: ClaimDecision) {
            when (decision) {
                is ClaimDecision.Commit -> callStore({ store.commit(decision.transaction, now) }) { execute(attempt.onCommit(it, now)) }
                is ClaimDecision.Read -> callStore({ store.read(decision.key, now) }) { execute(attempt.onRead(it, now)) }
                is ClaimDecision.Send -> send(decision.claim)
                is ClaimDecision.Release -> refuse(decision.refusal.executed).also { release(decision.claim) }
                is ClaimDecision.Replay -> callerResults[call.requestId] = CallerResult.Answered(decision.outcome)
                is ClaimDecision.Refuse -> refuse(decision.refusal.executed)
            }
        }

        private fun send(claim: HeldClaim) {
            if (random.nextInt(10) == 0) {
                release(claim)
                return refuse(Executed.NO)
            }
            val outcome = RecordedOutcome(201, "text/plain", "outcome-of-${call.requestId}")
            var answered = false
            val answerLost = random.nextInt(4) == 0
            after(delay()) {
                runs.getOrPut(call.key.value) { ArrayList() } += call.requestId
                outcomes[call.key.value] = outcome
                if (!answerLost) {
                    after(delay()) {
                        if (isNodeUp() && !answered) {
                            answered = true
                            callerResults[call.requestId] = CallerResult.Answered(outcome)
                            callStore({ store.commit(claim.complete(outcome), now) }) { }
                        }
                    }
                }
            }
            after(SERVICE_TIMEOUT) {
                if (isNodeUp() && !answered) {
                    answered = true
                    refuse(Executed.UNKNOWN)
                }
            }
        }

        private fun release(claim: HeldClaim) = callStore({ store.commit(claim.release(), now) }) { }

        private fun refuse(executed: Executed) {
            callerResults[call.requestId] = CallerResult.Refused(executed)
        }

        private fun isNodeUp() = (incarnations[node] ?: 0) == incarnation

        /** Calls the store; the request or response may be lost, and the call may take effect after it has timed out. */
        private fun <T> callStore(
            effect: () -> T,
            receive: (Result<T, StoreFailure>) -> Unit,
        ) {
            var done = false

            fun finish(result: Result<T, StoreFailure>) {
                if (done || !isNodeUp()) return
                done = true
                receive(result)
            }
            val failureDraw = random.nextInt(10)
            if (failureDraw == 0) return finish(Err(StoreFailure.NotSent("down")))
            if (failureDraw > 1) {
                after(delay()) {
                    val answer = effect()
                    if (failureDraw > 2) after(delay()) { finish(Ok(answer)) }
                }
            }
            after(STORE_TIMEOUT) { finish(Err(StoreFailure.NoAnswer("timeout"))) }
        }
    }

    private fun delay(): Duration = (if (random.nextInt(5) == 0) random.nextInt(4000) else random.nextInt(20)).milliseconds

    private fun after(
        delay: Duration,
        action: () -> Unit,
    ) {
        events += Event(now + delay, order++, action)
    }

    private class Event(
        val at: Instant,
        val order: Long,
        val action: () -> Unit,
    )

    private companion object {
        const val NODES = 4
        const val KEYS = 3
        const val REQUESTS = 14
        const val RESTARTS = 4
        const val ARRIVALS_MILLISECONDS = 15_000
        val STORE_TIMEOUT = 2.seconds
        val SERVICE_TIMEOUT = 5.seconds
    }
}
