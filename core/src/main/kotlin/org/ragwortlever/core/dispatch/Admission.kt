/*
 * Admission control: whether a request is sent to a backend server now, waits in the queue, or is refused. A server
 * gets a request only when it can start it soon. A request sent earlier would wait in the server's own queue, where it
 * takes memory and can no longer be reordered.
 */
package org.ragwortlever.core.dispatch

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Outcome of an admission decision. */
internal sealed interface AdmissionDecision {
    data class Admit(
        val score: ServerScore,
    ) : AdmissionDecision

    data class Wait(
        val delay: Duration,
    ) : AdmissionDecision

    data class Refuse(
        val retryAfter: Duration,
    ) : AdmissionDecision

    data object NoServer : AdmissionDecision
}

/** Decides on the requests of all entry VMs for the services whose decider is this VM. Not thread-safe. */
internal class Admission(
    private val pool: ServerPool,
) {
    val queue = AdmissionQueue()

    fun decide(
        question: PoolQuestion,
        now: Instant,
    ): AdmissionDecision {
        val waiting = queue.findOrEnqueue(question, now)
        val ahead = queue.requestsAheadOf(waiting, now)
        val reserved = ahead.reservedTokens()
        val wait = estimateWait(ahead, question.report.service, now)
        if (waiting.server != null && !question.hasBegun && !hasServerWithCapacity(question, reserved, now)) {
            return if (question.willMissDeadline(waiting.tokens, wait)) refuse(question, wait) else keepWaiting(waiting, reserved, now)
        }
        val unassigned = ahead.filter { it.server == null }
        // Requests of the same tier don't wait for each other's next question: an allowance that is not used expires.
        val ranked = pool.rank(question, reserved, unassigned.count { it.tier < question.tier }, now)
        val best = ranked.firstOrNull() ?: return waitForAllowance(question, unassigned.size, now)
        val available = ranked.firstOrNull {
            it.server.id !in reserved && it.canStart(question.tier, now) &&
                isWorthSending(it, best, waited = now - waiting.arrivedAt, timeToTarget = question.targetMilliseconds.milliseconds)
        }
        return when {
            question.hasBegun -> admit(question, best, now)
            question.willMissDeadline(best.uncachedTokens, wait) -> refuse(question, wait)
            available != null -> admit(question, available, now)
            else -> keepWaiting(waiting.apply { reserve(best) }, reserved, now)
        }
    }

    /** Decides on a request that no server may get now, because at best the request limits of servers are used up. */
    private fun waitForAllowance(
        question: PoolQuestion,
        requestsAhead: Int,
        now: Instant,
    ): AdmissionDecision {
        val requestsPerSecond = pool.limitedRequestsPerSecond(question, now)
        if (requestsPerSecond == 0.0) return dequeueWith(question, AdmissionDecision.NoServer)
        val wait = ((requestsAhead + 1) / requestsPerSecond).seconds
        return when {
            wait < question.leftMilliseconds.milliseconds -> AdmissionDecision.Wait((wait / 2).coerceIn(MIN_POLL_DELAY, MAX_POLL_DELAY))
            question.hasBegun -> dequeueWith(question, AdmissionDecision.NoServer)
            else -> refuse(question, wait)
        }
    }

    /** Cheap check that avoids ranking the servers when none of them has capacity. */
    private fun hasServerWithCapacity(
        question: PoolQuestion,
        reserved: Map<String, Int>,
        now: Instant,
    ): Boolean = pool.serversOf(question.report.service, now).any {
        it.id !in reserved && it.hasCapacity(question.tier, question.ownTokens, now) && pool.hasAllowance(it, now)
    }

    private fun WaitingRequest.reserve(best: ServerScore) {
        server = best.server.id
        tokens = best.uncachedTokens
        timeToFirstToken = (MAX_PREFILL_BACKLOG + estimatePrefillTime(best.uncachedTokens)) * FIRST_TOKEN_TIME_MARGIN
    }

    /**
     * Returns a wait of half the time until the server has capacity. Shorter waits would cause more questions, longer
     * ones would leave the server idle.
     */
    private fun keepWaiting(
        waiting: WaitingRequest,
        reserved: Map<String, Int>,
        now: Instant,
    ): AdmissionDecision {
        val unread = waiting.server?.let { pool.find(it) }?.unreadTokens(waiting.tier, now) ?: 0
        val time = estimatePrefillTime(unread + waiting.tokens + (reserved[waiting.server] ?: 0)) - MAX_PREFILL_BACKLOG
        return AdmissionDecision.Wait((time / 2).coerceIn(MIN_POLL_DELAY, MAX_POLL_DELAY))
    }

    private fun refuse(
        question: PoolQuestion,
        wait: Duration,
    ) = dequeueWith(question, AdmissionDecision.Refuse(maxOf(wait, MIN_RETRY_AFTER)))

    private fun admit(
        question: PoolQuestion,
        score: ServerScore,
        now: Instant,
    ): AdmissionDecision {
        queue.recordAdmitted(question.report.service, score.uncachedTokens, now)
        return dequeueWith(question, AdmissionDecision.Admit(score))
    }

    private fun dequeueWith(
        question: PoolQuestion,
        decision: AdmissionDecision,
    ): AdmissionDecision {
        queue.remove(question.report.node, question.number)
        return decision
    }

    /**
     * Estimates the time that the servers need for the requests [ahead] of this one, from the rate of recently admitted
     * tokens.
     */
    private fun estimateWait(
        ahead: List<WaitingRequest>,
        service: String,
        now: Instant,
    ): Duration {
        if (ahead.isEmpty()) return Duration.ZERO
        val tokensAhead = ahead.sumOf { it.tokens }
        val tokensPerRequest = tokensAhead.toDouble() / ahead.size
        val minimumRate = pool.serversOf(service, now).sumOf { server ->
            val speed = PREFILL_TOKENS_PER_SECOND * MIN_SPEED_FRACTION
            pool.limits.limitOf(server.known.server)?.let { minOf(speed, it * tokensPerRequest) } ?: speed
        }
        return (tokensAhead / maxOf(queue.admittedPerSecond(service, now), minimumRate, 1.0)).seconds
    }

    /**
     * Whether the caller's deadline passes before a server could send the whole answer. With no request ahead of it, a
     * request is tried as long as its prompt can be read in time, because most answers are shorter than the caller
     * allows.
     */
    private fun PoolQuestion.willMissDeadline(
        uncachedTokens: Int,
        wait: Duration,
    ): Boolean {
        val decodeTime = if (wait > Duration.ZERO) DECODE_TIME_PER_TOKEN * outputTokens else Duration.ZERO
        return leftMilliseconds.milliseconds < wait + estimatePrefillTime(uncachedTokens) + decodeTime
    }

    private fun ServerScore.canStart(
        tier: Int,
        now: Instant,
    ): Boolean = server.hasCapacity(tier, uncachedTokens, now)

    /** Whether the server can soon start to prefill [tokens] more tokens for a request of [tier]. */
    private fun ServerState.hasCapacity(
        tier: Int,
        tokens: Int,
        now: Instant,
    ): Boolean {
        val unread = unreadTokens(tier, now)
        return unread == 0 || estimatePrefillTime(unread + tokens) <= MAX_PREFILL_BACKLOG
    }

    private companion object {
        // The prefill time of a long prompt: the next prompt arrives before the server runs out of work, and the
        // answers that it generates meanwhile still get their tokens.
        val MAX_PREFILL_BACKLOG = 250.milliseconds

        // Time of one decode step of an engine with few running requests.
        val DECODE_TIME_PER_TOKEN = 4.milliseconds

        // Fraction of the nominal prefill speed that is assumed while the actual rate is unknown, and the floor when
        // servers are slow.
        const val MIN_SPEED_FRACTION = 0.5

        // Bounds of the delay before a waiting request asks again. The maximum is well below
        // AdmissionQueue.ENTRY_LIFETIME.
        val MIN_POLL_DELAY = 20.milliseconds
        val MAX_POLL_DELAY = 500.milliseconds

        // A request has to move ahead of later ones while it can still meet its target, not when it just no longer can.
        const val FIRST_TOKEN_TIME_MARGIN = 1.5

        // A refused request with none ahead of it was refused only because its own deadline was too short.
        val MIN_RETRY_AFTER = 300.milliseconds
    }
}

/** Sums, per server, the tokens that waiting requests will have it prefill. */
private fun List<WaitingRequest>.reservedTokens(): Map<String, Int> {
    val tokens = HashMap<String, Int>()
    forEach { request -> request.server?.let { tokens.merge(it, request.tokens, Int::plus) } }
    return tokens
}
