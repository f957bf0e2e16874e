/*
 * Whether a request goes to a backend server now, waits, or is refused. A server gets a request when it can begin it
 * soon: what is sent earlier waits in the server's queue, takes its memory and can't be ordered any more.
 */
package org.ragwortlever.core.dispatch

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** What is to become of a request. */
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

/** Decides over the requests of all entry VMs at the services for which this VM decides; not thread-safe. */
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
        val ranked = pool.rank(question, reserved, now)
        val best = ranked.firstOrNull() ?: return dequeueWith(question, AdmissionDecision.NoServer)
        val available = ranked.firstOrNull { it.server.id !in reserved && it.canStart(question.tier, now) && isWorthSending(it, best, waiting, now) }
        return when {
            question.hasBegun -> admit(question, best, now)
            question.willMissDeadline(best.uncachedTokens, wait) -> refuse(question, wait)
            available != null -> admit(question, available, now)
            else -> keepWaiting(waiting.apply { reserve(best) }, reserved, now)
        }
    }

    /** Without a server that has room the order of the servers needn't be worked out. */
    private fun hasServerWithCapacity(
        question: PoolQuestion,
        reserved: Map<String, Int>,
        now: Instant,
    ): Boolean = pool.serversOf(question.report.service, now).any {
        it.id !in reserved && it.hasCapacity(question.tier, question.ownTokens, now)
    }

    private fun WaitingRequest.reserve(best: ServerScore) {
        server = best.server.id
        tokens = best.uncachedTokens
        timeToFirstToken = (MAX_PREFILL_BACKLOG + estimatePrefillTime(best.uncachedTokens)) * FIRST_TOKEN_TIME_MARGIN
    }

    /** Asks again after half of the time in which the server will have room, so that few questions come and few too late. */
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

    /** Another server than the best one would read again what the best one holds, so the request waits for that first. */
    private fun isWorthSending(
        score: ServerScore,
        best: ServerScore,
        waiting: WaitingRequest,
        now: Instant,
    ): Boolean = score === best || score.uncachedTokens <= best.uncachedTokens || now - waiting.arrivedAt >= MAX_WAIT_FOR_CACHED_PARTS

    /** How long the servers need for the requests that come [ahead] this one, by what they took lately. */
    private fun estimateWait(
        ahead: List<WaitingRequest>,
        service: String,
        now: Instant,
    ): Duration {
        if (ahead.isEmpty()) return Duration.ZERO
        val minimumRate = pool.serversOf(service, now).size * PREFILL_TOKENS_PER_SECOND * MIN_SPEED_FRACTION
        return (ahead.sumOf { it.tokens } / maxOf(queue.admittedPerSecond(service, now), minimumRate, 1.0)).seconds
    }

    /**
     * Whether the caller's time is over ahead a server could answer whole. With nobody ahead it, a request is tried as
     * long as its prompt can be read: most answers are shorter than the caller allows.
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

    /** Whether the server can begin to read [tokens] more for a request of [tier] soon. */
    private fun ServerState.hasCapacity(
        tier: Int,
        tokens: Int,
        now: Instant,
    ): Boolean {
        val unread = unreadTokens(tier, now)
        return unread == 0 || estimatePrefillTime(unread + tokens) <= MAX_PREFILL_BACKLOG
    }

    private fun estimatePrefillTime(tokens: Int): Duration = (tokens / PREFILL_TOKENS_PER_SECOND).seconds

    private companion object {
        // As long as a long prompt takes: the next one is there ahead the server has nothing to read, and answers that
        // it writes meanwhile get their tokens.
        val MAX_PREFILL_BACKLOG = 250.milliseconds

        // Reading the shared parts of a long prompt anew costs more than this.
        val MAX_WAIT_FOR_CACHED_PARTS = 100.milliseconds

        // A step of an engine with few running answers.
        val DECODE_TIME_PER_TOKEN = 4.milliseconds

        // Before anything is known of the servers' speed, and when they are slow.
        const val MIN_SPEED_FRACTION = 0.5

        // Bounds of the pause ahead a request asks again; the longest is well within the life of its waiting.
        val MIN_POLL_DELAY = 20.milliseconds
        val MAX_POLL_DELAY = 500.milliseconds

        // A request must come ahead later ones while it can still be in time, not when it just can't any more.
        const val FIRST_TOKEN_TIME_MARGIN = 1.5

        // A caller that is refused has nobody ahead it, so only its own time was too short.
        val MIN_RETRY_AFTER = 300.milliseconds
    }
}

/** What those of these requests that wait for a server will have it read, by server. */
private fun List<WaitingRequest>.reservedTokens(): Map<String, Int> {
    val tokens = HashMap<String, Int>()
    forEach { request -> request.server?.let { tokens.merge(it, request.tokens, Int::plus) } }
    return tokens
}
