/*
 * The requests that wait at the deciding VM because no backend server could begin them soon. Each asks again after a
 * while, so a entry that is not asked for lapses, and a new deciding VM has the whole queue within one round.
 *
 * More urgent requests come first. Among equals those come first whose first token can still be in time, and of these
 * the ones that arrived first: a request that is late already must not make the next one late too.
 */
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.admission.DecayedRate
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** A request that waits. */
internal class WaitingRequest(
    val node: String,
    val number: Long,
    val service: String,
    val tier: Int,
    val arrivedAt: Instant,
    private val firstTokenDueAt: Instant,
) {
    var lastAskedAt = arrivedAt

    /** The best server for it when it asked last. */
    var server: String? = null

    /** What that server would have to read for it, and how long it takes until the first token once the request is sent. */
    var tokens = 0
    var timeToFirstToken = Duration.ZERO

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

    /** The entry of the request of [question], a new one if it has none. */
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

    /** The requests that come before [request]. */
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

    /** Forgets the requests of [node] at [service] but those with [numbers]. */
    fun retainOnly(
        node: String,
        service: String,
        numbers: Collection<Long>,
    ) {
        waiting.values.removeAll { it.node == node && it.service == service && it.number !in numbers }
    }

    /** Notes that a server of [service] gets a request for which it has to read [tokens]. */
    fun recordAdmitted(
        service: String,
        tokens: Int,
        now: Instant,
    ) {
        admittedRates.getOrPut(service) { DecayedRate(RATE_WINDOW) }.add(tokens.toDouble(), now)
    }

    /** Tokens a second that the servers of [service] got to read lately. */
    fun admittedPerSecond(
        service: String,
        now: Instant,
    ): Double = admittedRates[service]?.perSecond(now) ?: 0.0

    private fun order(now: Instant): Comparator<WaitingRequest> =
        compareBy({ it.tier }, { it.isLate(now) }, { it.arrivedAt }, { it.number })

    private companion object {
        // Several times the longest pause between two questions; a VM that is gone must not hold places for long.
        val ENTRY_LIFETIME: Duration = 2.seconds

        // Evens out single long prompts and follows engines that come or go.
        val RATE_WINDOW: Duration = 1.seconds
    }
}
