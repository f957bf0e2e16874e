/*
 * A lane holds the requests of one class for one model, and is the unit that the scheduler chooses. All of its requests
 * can run on the same servers, so a blocked head doesn't delay requests that could run elsewhere.
 */
package org.ragwortlever.core.admission

import org.ragwortlever.core.capacity.ServerCapacity
import org.ragwortlever.core.configuration.RequestClass
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Waiting requests of class [classId] for [model], with measurements of their service. Not thread-safe. */
internal class Lane(
    val classId: String,
    val model: String,
    var definition: RequestClass,
    fair: Boolean,
) {
    val queue = FairQueue(fair)

    /** Requests that wait for a retry, in order of arrival; they are served before the queue. */
    private val retries = ArrayList<WaitingRequest>()
    private val arrivals = ArrayDeque<WaitingRequest>()

    /** Servers that may take new work of this lane. */
    var servers: List<ServerCapacity> = emptyList()
        set(value) {
            field = value
            refreshSlots()
        }

    /** Other lanes that share servers with this one. */
    var competitors: List<Competitor> = emptyList()

    /** Whether the last try to start a request found no free server; reset when a server gets a free slot. */
    var isBlocked = false

    /** Running attempts of this lane. */
    var running = 0

    /** Earliest expected end of the attempts on this lane's servers; null until it is computed again. */
    var nextExpectedEnd: Instant? = null

    /** Tokens by which the lane is below its minimum share; negative when it is above. */
    var owedTokens = 0.0

    /** When this lane last lost capacity. */
    var lastCapacityLossAt: Instant = Instant.DISTANT_PAST

    /** Accepted work in slot-seconds per second. */
    val acceptedWork = DecayedRate(RATE_WINDOW)

    /** Generated tokens per second. */
    val servedTokens = DecayedRate(RATE_WINDOW)

    private val service = DecayedStatistics()
    private var tokenSum = 0.0
    private var secondSum = 0.0

    val tier: Int get() = definition.tier

    /** Number of waiting requests, retries included. */
    val waiting: Int get() = queue.size + retries.size

    /** Whether requests wait for a retry. */
    val hasRetries: Boolean get() = retries.isNotEmpty()

    /** Concurrent requests that the servers of this lane are expected to accept from this node. */
    var slots = 0
        private set

    /** Seconds that a slot needs for a token, measured over ended attempts; the time to first token is included. */
    val secondsPerToken: Double get() = if (tokenSum > 0) secondSum / tokenSum else definition.tokenGapTargetSeconds

    /** Mean length of an attempt in seconds. */
    val serviceSeconds: Double get() = if (service.count > 0) service.mean else AnswerLengths.PRIOR_TOKENS * secondsPerToken

    /** Waiting work in slot-seconds. */
    val backlogSeconds: Double get() = queue.backlog * secondsPerToken + retries.size * serviceSeconds

    /** Recomputes [slots] after the limits of the servers have changed. */
    fun refreshSlots() {
        slots = servers.sumOf { it.expectedSlots }
    }

    /** Returns the oldest retry or, without retries, the oldest new request; null if none waits. */
    fun findOldest(): WaitingRequest? {
        while (arrivals.isNotEmpty() && !arrivals.first().isWaiting) arrivals.removeFirst()
        return retries.firstOrNull() ?: arrivals.firstOrNull()
    }

    /** Appends a new request, whose account has [weight]. */
    fun add(
        waiting: WaitingRequest,
        weight: Double,
    ) {
        queue.add(waiting, weight)
        arrivals.addLast(waiting)
    }

    /** Adds a request whose attempt failed to the retries, in order of arrival. */
    fun requeue(waiting: WaitingRequest) {
        waiting.isWaiting = true
        val place = retries.indexOfFirst { it.arrival > waiting.arrival }
        retries.add(if (place < 0) retries.size else place, waiting)
    }

    /** Removes and returns the next request in the order of service; retries are skipped unless [canRun]. */
    fun take(canRun: (WaitingRequest) -> Boolean): WaitingRequest? {
        val again = retries.indexOfFirst(canRun)
        val next = if (again >= 0) retries.removeAt(again) else queue.poll()
        next?.isWaiting = false
        findOldest()
        return next
    }

    /** Removes [waiting] without serving it. */
    fun remove(waiting: WaitingRequest) {
        waiting.isWaiting = false
        if (!retries.remove(waiting)) queue.remove(waiting)
    }

    /** All waiting requests, those of one account in order of arrival. Iterates over the whole lane. */
    fun listWaiting(): List<WaitingRequest> = retries + queue.listByAccount().flatMap { it.second }

    /** The requests that wait for a retry. */
    fun listRetries(): List<WaitingRequest> = retries.toList()

    /** Adds an ended attempt of [tokens] and [seconds] to the measured speed; ignored without tokens. */
    fun learnService(
        tokens: Int,
        seconds: Double,
    ) {
        if (tokens <= 0) return
        tokenSum = tokenSum * SPEED_DECAY_PER_ATTEMPT + tokens
        secondSum = secondSum * SPEED_DECAY_PER_ATTEMPT + seconds
        service.learn(seconds)
    }

    private companion object {
        val RATE_WINDOW = 10.seconds

        // Averages over about the last 50 attempts.
        const val SPEED_DECAY_PER_ATTEMPT = 0.98
    }
}

/** A lane that shares servers with another one; [fraction] of its capacity is on the shared servers. */
internal class Competitor(
    val lane: Lane,
    val fraction: Double,
)
