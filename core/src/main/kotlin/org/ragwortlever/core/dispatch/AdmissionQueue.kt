/*
 * Queue of the requests that wait at the decider because no backend server could start them soon. Each request asks
 * again after a delay, so an entry that is not renewed expires, and a new decider knows the whole queue after one
 * round.
 *
 * Requests are ordered by tier, the most urgent first. Within a tier, requests that can still meet their first-token
 * target come first, in order of arrival: a request that is already late must not delay the next one past its target
 * too.
 */
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.admission.DecayedRate
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** A queued request. */
internal class WaitingRequest(
    val node: String,
    val number: Long,
    val service: String,
    val tier: Int,
    val arrivedAt: Instant,
    private val firstTokenDueAt: Instant,
) {
    var lastAskedAt = arrivedAt

    /** The best server for the request when it last asked; null before the first ranking. */
    var server: String? = null

    /** Tokens that [server] would have to prefill for the request, and the time from sending it to the first token. */
    var tokens = 0
    var timeToFirstToken = Duration.ZERO

    /** Whether the first token would come after its target, if the request were sent [now]. */
    fun isLate(now: Instant): Boolean = now + timeToFirstToken > firstTokenDueAt
}

/** Not thread-safe. */
internal class AdmissionQueue {
    private data class RequestKey(
        val node: String,
        val number: Long,
    )

    private val waiting = LinkedHashMap<RequestKey, WaitingRequest>()
    private val admittedRates = HashMap<String, DecayedRate>()

    /** Returns the entry of the request of [question]; adds one if there is none. */
    fun findOrEnqueue(
        question: PoolQuestion,
        now: Instant,
    ): WaitingRequest {
        val node = question.report.node
        val entry =
            waiting.getOrPut(RequestKey(node, question.number)) {
                val firstTokenDueAt = now + question.targetMilliseconds.milliseconds
                WaitingRequest(node, question.number, question.report.service, question.tier, now, firstTokenDueAt)
            }
        entry.lastAskedAt = now
        return entry
    }

    /** Returns the requests of the same service that are ahead of [request], after removing expired entries. */
    fun requestsAheadOf(
        request: WaitingRequest,
        now: Instant,
    ): List<WaitingRequest> {
        waiting.values.removeAll { now - it.lastAskedAt > ENTRY_LIFETIME }
        val order = order(now)
        return waiting.values.filter { it !== request && it.service == request.service && order.compare(it, request) < 0 }
    }

    fun remove(
        node: String,
        number: Long,
    ) {
        waiting.remove(RequestKey(node, number))
    }

    /** Removes the requests of [node] for [service] whose number is not in [numbers]. */
    fun retainOnly(
        node: String,
        service: String,
        numbers: Collection<Long>,
    ) {
        waiting.values.removeAll { it.node == node && it.service == service && it.number !in numbers }
    }

    /** Records that a request was admitted for which a server of [service] has to prefill [tokens]. */
    fun recordAdmitted(
        service: String,
        tokens: Int,
        now: Instant,
    ) {
        admittedRates.getOrPut(service) { DecayedRate(RATE_WINDOW) }.add(tokens.toDouble(), now)
    }

    /** Prompt tokens per second that were recently admitted to the servers of [service]. */
    fun admittedPerSecond(
        service: String,
        now: Instant,
    ): Double = admittedRates[service]?.perSecond(now) ?: 0.0

    private fun order(now: Instant): Comparator<WaitingRequest> =
        compareBy({ it.tier }, { it.isLate(now) }, { it.arrivedAt }, { it.number })

    private companion object {
        // Several times the longest delay between two questions; the entries of a VM that is gone must expire soon.
        val ENTRY_LIFETIME: Duration = 2.seconds

        // Smooths single long prompts and follows engines that are added or removed.
        val RATE_WINDOW: Duration = 1.seconds
    }
}
