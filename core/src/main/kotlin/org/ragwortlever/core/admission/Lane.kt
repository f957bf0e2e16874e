/*
 * The unit of the order of service: the requests of one class for one model. They can all run on the same servers,
 * so a request at the head never holds up others that could run elsewhere.
 */
package org.ragwortlever.core.admission

import org.ragwortlever.core.capacity.ServerCapacity
import org.ragwortlever.core.configuration.RequestClass
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** The waiting requests of class [classId] for [model], with what has been learned about their service. */
internal class Lane(
    val classId: String,
    val model: String,
    var definition: RequestClass,
    fair: Boolean,
) {
    val queue = FairQueue(fair)

    /** Requests whose attempt failed, in order of arrival; they are served before the queue. */
    private val retries = ArrayList<WaitingRequest>()
    private val arrivals = ArrayDeque<WaitingRequest>()

    /** Servers that may take new work of this lane. */
    var servers: List<ServerCapacity> = emptyList()
        set(value) {
            field = value
            refreshSlots()
        }

    /** Other lanes that compete for these servers. */
    var competitors: List<Competitor> = emptyList()

    /** Whether the last attempt to start a request found no free server; cleared when one of them has a free slot. */
    var isBlocked = false
    var running = 0

    /** When the first of the attempts on this lane's servers is expected to end; null until computed again. */
    var nextExpectedEnd: Instant? = null

    /** Tokens of the minimum share that the lane has yielded; negative when it has had more. */
    var owedTokens = 0.0

    /** When capacity of this lane was lost for the last time. */
    var lastCapacityLossAt: Instant = Instant.DISTANT_PAST

    /** Accepted work in slot-seconds per second. */
    val acceptedWork = DecayedRate(RATE_WINDOW)

    /** Tokens generated. */
    val servedTokens = DecayedRate(RATE_WINDOW)

    private val service = DecayedStatistics()
    private var tokenSum = 0.0
    private var secondSum = 0.0

    val tier: Int get() = definition.tier
    val waiting: Int get() = queue.size + retries.size
    val hasRetries: Boolean get() = retries.isNotEmpty()

    /** Concurrent requests that the servers of this lane are expected to take from this node. */
    var slots = 0
        private set

    /** Seconds that a slot needs for a token, measured over ended attempts and including the first-token time. */
    val secondsPerToken: Double get() = if (tokenSum > 0) secondSum / tokenSum else definition.tokenGapTargetSeconds

    /** Mean length of an attempt in seconds. */
    val serviceSeconds: Double get() = if (service.count > 0) service.mean else AnswerLengths.PRIOR_TOKENS * secondsPerToken

    /** Waiting work in slot-seconds. */
    val backlogSeconds: Double get() = queue.backlog * secondsPerToken + retries.size * serviceSeconds

    fun refreshSlots() {
        slots = servers.sumOf { it.expectedSlots }
    }

    /** The waiting request that arrived first, or null. */
    fun findOldest(): WaitingRequest? {
        while (arrivals.isNotEmpty() && !arrivals.first().isWaiting) arrivals.removeFirst()
        return retries.firstOrNull() ?: arrivals.firstOrNull()
    }

    fun add(
        waiting: WaitingRequest,
        weight: Double,
    ) {
        queue.add(waiting, weight)
        arrivals.addLast(waiting)
    }

    /** Puts a request back whose attempt failed; it keeps its place by arrival. */
    fun requeue(waiting: WaitingRequest) {
        waiting.isWaiting = true
        val place = retries.indexOfFirst { it.arrival > waiting.arrival }
        retries.add(if (place < 0) retries.size else place, waiting)
    }

    /** Takes the next request in the order of service; a returned one only if [canRun]. */
    fun take(canRun: (WaitingRequest) -> Boolean): WaitingRequest? {
        val again = retries.indexOfFirst(canRun)
        val next = if (again >= 0) retries.removeAt(again) else queue.poll()
        next?.isWaiting = false
        findOldest()
        return next
    }

    /** Takes [waiting] out without service. */
    fun remove(waiting: WaitingRequest) {
        waiting.isWaiting = false
        if (!retries.remove(waiting)) queue.remove(waiting)
    }

    /** Every waiting request, those of one account in order. Walks the whole lane. */
    fun listWaiting(): List<WaitingRequest> = retries + queue.listByAccount().flatMap { it.second }

    /** The requests whose attempt failed. */
    fun listRetries(): List<WaitingRequest> = retries.toList()

    fun learnService(
        tokens: Int,
        seconds: Double,
    ) {
        if (tokens <= 0) return
        tokenSum = tokenSum * SPEED_MEMORY + tokens
        secondSum = secondSum * SPEED_MEMORY + seconds
        service.learn(seconds)
    }

    private companion object {
        val RATE_WINDOW = 10.seconds

        // Remembers about the last 50 attempts.
        const val SPEED_MEMORY = 0.98
    }
}

/** A lane that competes for the same servers; [fraction] of its capacity lies on them. */
internal class Competitor(
    val lane: Lane,
    val fraction: Double,
)
