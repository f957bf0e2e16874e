/*
 * Composes the traffic decisions: which request starts next, on which backend server, and which is refused.
 * It runs on one thread, takes events with the present time and returns the effects that the caller carries out.
 */
package org.ragwortlever.core.traffic

import org.ragwortlever.core.admission.AccountLimits
import org.ragwortlever.core.admission.AnswerLengths
import org.ragwortlever.core.admission.Lane
import org.ragwortlever.core.admission.LaneRegistry
import org.ragwortlever.core.admission.LostRequestCheck
import org.ragwortlever.core.admission.ServiceOrder
import org.ragwortlever.core.admission.WaitingRequest
import org.ragwortlever.core.admission.estimateWaitSeconds
import org.ragwortlever.core.admission.inSeconds
import org.ragwortlever.core.admission.recordMinimumShares
import org.ragwortlever.core.capacity.ConcurrencyLimit
import org.ragwortlever.core.capacity.FirstTokenObservation
import org.ragwortlever.core.capacity.NodeGroup
import org.ragwortlever.core.capacity.ServerCapacity
import org.ragwortlever.core.capacity.ServerFleet
import org.ragwortlever.core.configuration.ConfigurationSnapshot
import org.ragwortlever.core.error.Executed
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Decides over the requests of one entry VM. Not thread-safe: the control thread owns it. */
class TrafficController(
    private var snapshot: ConfigurationSnapshot,
    private val options: TrafficOptions = TrafficOptions(),
) {
    private var nodes = options.nodes
    private val fleet = ServerFleet(options.avoidLeaving, ::newServer)
    private val lanes = LaneRegistry(options.fairAccounts, fleet::serversFor)
    private val order = ServiceOrder(options.strictPriority, options.minimumShares, options.guardShares)
    private val lengths = AnswerLengths()
    private val limits = AccountLimits { nodes.size }
    private val waitingById = HashMap<RequestId, Pair<Lane, WaitingRequest>>()
    private val attempts = Attempts()
    private val choice = ServerChoice(options, snapshot)
    private val lossCheck = LostRequestCheck()

    init {
        fleet.applyConfiguration(snapshot)
    }

    /** Requests that wait for a backend server. */
    val waiting: Int get() = waitingById.size

    /** Attempts that run on backend servers. */
    val running: Int get() = attempts.size

    fun handle(
        event: TrafficEvent,
        now: Instant,
    ): List<TrafficEffect> {
        val effects = ArrayList<TrafficEffect>()
        choice.observe(event, now)
        when (event) {
            is TrafficEvent.Submit -> submit(event.request, now, effects)
            is TrafficEvent.FirstToken -> firstToken(event.attempt, now, effects)
            is TrafficEvent.Progress -> progress(event, now, effects)
            is TrafficEvent.Finished -> finish(event, now, effects)
            is TrafficEvent.CallerGone -> forget(event.request, effects)
            is TrafficEvent.ConfigurationChanged -> changeConfiguration(event.snapshot, now)
            is TrafficEvent.MembersChanged -> changeMembers(event.nodes, now)
            is TrafficEvent.LoadReport -> observeLoad(event)
            is TrafficEvent.Allowance -> grant(event)
            is TrafficEvent.AccountLease -> limits.setLeasedPart(event.account, event.part, event.until)
            TrafficEvent.Tick -> Unit
        }
        if (options.giveUpOnLoss) giveUpOnLost(now, effects)
        // All lanes at once: a lower tier must not find the returned server before a higher one looks again.
        if (choice.mayHaveServersBack(now)) lanes.ordered.forEach { it.isBlocked = false }
        dispatchWaiting(now, effects)
        return effects
    }

    /** The slots that this node needs; for the owners of the backend servers. */
    fun demand(
        @Suppress("UNUSED_PARAMETER") now: Instant,
    ): List<ServerDemand> = demandOf(fleet.all, lanes.ordered)

    private fun newServer(id: String) =
        ServerCapacity(id, ConcurrencyLimit(options.ramp, options.detectCold), options.allowances) { nodes }

    private fun observeLoad(report: TrafficEvent.LoadReport) {
        val server = fleet.find(report.server) ?: return
        server.reportedWaiting = report.waiting
        val before = server.expectedSlots
        server.limit.observeLoad(server.server, report.running, report.waiting)
        if (server.expectedSlots == before) return
        server.lanes.forEach { it.refreshSlots() }
        unblock(server)
    }

    private fun grant(event: TrafficEvent.Allowance) {
        val server = fleet.find(event.server) ?: return
        server.grant(event.slots, event.until)
        unblock(server)
    }

    private fun submit(
        request: RequestDescription,
        now: Instant,
        effects: MutableList<TrafficEffect>,
    ) {
        // The id of a request that is still open can't be used again: its effects could not be told apart.
        if (request.id in waitingById || attempts.ofRequest(request.id) != null) return
        val definition = snapshot.document.classes[request.requestClass]
        if (definition == null) {
            effects += TrafficEffect.Refuse(request.id, unknownClass(request))
            return
        }
        if (choice.isRefused(request, now)) {
            effects += TrafficEffect.Refuse(request.id, crashesServers(request, mayHaveRun = false))
            return
        }
        val lane = lanes.findOrCreate(request.requestClass, request.model, definition)
        if (lane.servers.isEmpty()) {
            effects += TrafficEffect.Refuse(request.id, noServer(request))
            return
        }
        val weight = snapshot.document.accounts[request.account]?.weight ?: 1.0
        val cost = expectedTokens(request)
        if (options.accountLimits) {
            limits.secondsUntilAllowed(request.account, cost, snapshot.document, now)?.let { seconds ->
                effects += TrafficEffect.Refuse(request.id, limitExceeded(request, seconds))
                return
            }
        }
        if (options.refuseOnArrival) {
            val wait = lane.estimateWaitSeconds(request.account, weight, cost, now)
            if (wait > definition.waitSeconds) {
                effects += TrafficEffect.Refuse(request.id, waitExceeded(lane, wait))
                return
            }
        }
        val accepted = WaitingRequest(request, now, now + definition.waitSeconds.seconds, cost)
        lane.acceptedWork.add(cost * lane.secondsPerToken, now)
        // The lane may be blocked only because a returned request can't use the servers that are free.
        if (lane.queue.size == 0) lane.isBlocked = false
        lane.add(accepted, weight)
        waitingById[request.id] = lane to accepted
        limits.recordAccepted(request.account, cost, now)
    }

    private fun expectedTokens(request: RequestDescription): Double =
        if (options.learnLengths) maxOf(1.0, lengths.mean(request.requestClass, request.account)) else AnswerLengths.PRIOR_TOKENS

    private fun firstToken(
        id: AttemptId,
        now: Instant,
        effects: MutableList<TrafficEffect>,
    ) {
        val attempt = attempts.find(id)
        if (attempt == null) {
            effects += TrafficEffect.Cancel(id)
            return
        }
        attempt.server.lastProgressAt = now
        if (attempt.firstTokenAt != null) return
        attempt.firstTokenAt = now
        val server = attempt.server
        val seconds = (now - attempt.startedAt).inSeconds()
        val observation =
            FirstTokenObservation(seconds, attempt.waiting.request.promptTokens, attempt.runningAtStart, server.reportedWaiting)
        changeLimit(server, now) { server.limit.observeFirstToken(observation) }
    }

    private fun progress(
        event: TrafficEvent.Progress,
        now: Instant,
        effects: MutableList<TrafficEffect>,
    ) {
        val attempt = attempts.find(event.attempt)
        if (attempt == null) {
            effects += TrafficEffect.Cancel(event.attempt)
            return
        }
        recordTokens(attempt, event.tokens, now)
    }

    private fun recordTokens(
        attempt: Attempt,
        tokens: Int,
        now: Instant,
    ) {
        if (tokens <= 0) return
        attempt.server.lastProgressAt = now
        attempt.tokens += tokens
        attempt.lane.servedTokens.add(tokens.toDouble(), now)
        recordMinimumShares(attempt.lane, tokens, attempt.server.lanes)
        limits.addTokens(attempt.waiting.request.account, tokens, now)
    }

    private fun finish(
        event: TrafficEvent.Finished,
        now: Instant,
        effects: MutableList<TrafficEffect>,
    ) {
        val attempt = attempts.end(event.attempt) ?: return
        attempt.server.lastProgressAt = now
        unblock(attempt.server)
        when (val outcome = event.outcome) {
            is AttemptOutcome.Completed -> complete(attempt, outcome, now)
            is AttemptOutcome.Failed -> fail(attempt, outcome, now, effects)
        }
    }

    private fun complete(
        attempt: Attempt,
        outcome: AttemptOutcome.Completed,
        now: Instant,
    ) {
        recordTokens(attempt, outcome.tokens - attempt.tokens, now)
        val request = attempt.waiting.request
        val total = attempt.waiting.tokensOfEarlierAttempts + outcome.tokens
        lengths.learn(request.requestClass, request.account, total)
        attempt.lane.learnService(outcome.tokens, (now - attempt.startedAt).inSeconds())
        attempt.lane.queue.settleCost(request.account, attempt.waiting.cost, total.toDouble())
        limits.recordEnded(request.account, attempt.waiting.cost)
        val first = (attempt.firstTokenAt ?: now) - attempt.startedAt
        val onTarget = first.inSeconds() <= attempt.lane.definition.firstTokenTargetSeconds
        changeLimit(attempt.server, now) { attempt.server.limit.recordCompletion(attempt.server.server, onTarget) }
    }

    private fun fail(
        attempt: Attempt,
        outcome: AttemptOutcome.Failed,
        now: Instant,
        effects: MutableList<TrafficEffect>,
    ) {
        recordTokens(attempt, outcome.tokens - attempt.tokens, now)
        val waiting = attempt.waiting
        waiting.tokensOfEarlierAttempts += outcome.tokens
        waiting.failures++
        if (options.excludeFailedServers) waiting.failedServers += attempt.server.id
        if (outcome.executed == Executed.UNKNOWN) waiting.mayHaveRun = true
        // A server that has failed comes back freshly started, if it does.
        changeLimit(attempt.server, now) { attempt.server.limit.restartSlowStart() }
        if (choice.isRefused(waiting.request, now)) {
            limits.recordEnded(waiting.request.account, waiting.cost)
            effects += TrafficEffect.Refuse(waiting.request.id, crashesServers(waiting.request, waiting.mayHaveRun))
            return
        }
        if (!mayRetry(attempt) || !choice.takeRetry(waiting.request, isOverloaded(now), now)) {
            limits.recordEnded(waiting.request.account, waiting.cost)
            effects += TrafficEffect.Refuse(waiting.request.id, serverFailed(attempt, outcome.reason))
            return
        }
        // The first start ended the request's wait; the next attempt gets a wait of its own.
        waiting.deadline = now + attempt.lane.definition.waitSeconds.seconds
        attempt.lane.requeue(waiting)
        waitingById[waiting.request.id] = attempt.lane to waiting
    }

    private fun mayRetry(attempt: Attempt): Boolean =
        options.retries &&
            attempt.lane.definition.repeatable &&
            attempt.waiting.failures < MAXIMUM_FAILURES &&
            attempt.lane.servers.any { it.id !in attempt.waiting.failedServers }

    /** Whether some class has more work waiting than can start within its wait. */
    private fun isOverloaded(now: Instant): Boolean =
        lanes.ordered.any { it.waiting > 0 && it.estimateWaitSeconds("", 1.0, 0.0, now) > it.definition.waitSeconds }

    private fun forget(
        request: RequestId,
        effects: MutableList<TrafficEffect>,
    ) {
        waitingById.remove(request)?.let { (lane, waiting) ->
            lane.remove(waiting)
            limits.recordEnded(waiting.request.account, waiting.cost)
        }
        val attempt = attempts.ofRequest(request) ?: return
        attempts.end(attempt.id)
        limits.recordEnded(attempt.waiting.request.account, attempt.waiting.cost)
        choice.cancelled(attempt.id)
        unblock(attempt.server)
        effects += TrafficEffect.Cancel(attempt.id)
    }

    private fun changeConfiguration(
        changed: ConfigurationSnapshot,
        now: Instant,
    ) {
        snapshot = changed
        changeSlots(now) {
            fleet.applyConfiguration(changed)
            lanes.rebuild(changed.document.classes)
        }
    }

    private fun changeMembers(
        changed: NodeGroup,
        now: Instant,
    ) {
        changeSlots(now) {
            nodes = changed
            lanes.ordered.forEach { it.refreshSlots() }
        }
        fleet.all.forEach(::unblock)
    }

    /** Applies [change] and notes which lanes have lost capacity by it. */
    private fun changeSlots(
        now: Instant,
        change: () -> Unit,
    ) {
        val before = lanes.ordered.associateWith { it.slots to it.servers }
        change()
        lanes.ordered.forEach { lane ->
            val (slots, members) = before.getValue(lane)
            if (lane.slots >= slots && lane.servers.containsAll(members)) return@forEach
            lane.lastCapacityLossAt = now
            lossCheck.recordCapacityLoss(now)
        }
    }

    /** Applies [change] to the limit of [server] and notes a loss of capacity for its lanes. */
    private fun changeLimit(
        server: ServerCapacity,
        now: Instant,
        change: () -> Unit,
    ) {
        val before = server.expectedSlots
        change()
        val after = server.expectedSlots
        if (after == before) return
        server.lanes.forEach { lane ->
            lane.refreshSlots()
            if (after < before) lane.lastCapacityLossAt = now
        }
        if (after < before) lossCheck.recordCapacityLoss(now)
        unblock(server)
    }

    private fun giveUpOnLost(
        now: Instant,
        effects: MutableList<TrafficEffect>,
    ) = lossCheck.run(lanes.ordered, now) { lane, lost ->
        lane.remove(lost)
        waitingById.remove(lost.request.id)
        limits.recordEnded(lost.request.account, lost.cost)
        val wait = lane.estimateWaitSeconds(lost.request.account, 1.0, lost.cost, now)
        effects += TrafficEffect.Refuse(lost.request.id, capacityLost(lane, lost, wait))
    }

    private fun dispatchWaiting(
        now: Instant,
        effects: MutableList<TrafficEffect>,
    ) {
        while (true) {
            val lane = order.chooseLane(lanes.ordered, now) ?: return
            val free = lane.servers.filter { it.freeSlots(now) > 0 && choice.accepts(it, now) }
            val next = if (free.isEmpty()) null else lane.take { waiting -> free.any { it.id !in waiting.failedServers } }
            if (next == null) {
                lane.isBlocked = true
                continue
            }
            start(next, lane, free.filter { it.id !in next.failedServers }, now, effects)
        }
    }

    private fun start(
        waiting: WaitingRequest,
        lane: Lane,
        candidates: List<ServerCapacity>,
        now: Instant,
        effects: MutableList<TrafficEffect>,
    ) {
        waitingById.remove(waiting.request.id)
        if (choice.isRefused(waiting.request, now)) {
            limits.recordEnded(waiting.request.account, waiting.cost)
            effects += TrafficEffect.Refuse(waiting.request.id, crashesServers(waiting.request, waiting.mayHaveRun))
            return
        }
        val decision = choice.choose(waiting.request, candidates, now)
        val server = candidates.first { it.id == decision.chosen }
        val attempt = attempts.start(waiting, lane, server, now)
        choice.dispatched(attempt, now)
        server.lanes.forEach { it.nextExpectedEnd = null }
        effects += TrafficEffect.Decided(decision)
        effects += TrafficEffect.Dispatch(waiting.request.id, attempt.id, server.id, lane.tier)
    }

    private fun unblock(server: ServerCapacity) =
        server.lanes.forEach { lane ->
            lane.isBlocked = false
            lane.nextExpectedEnd = null
        }

    private companion object {
        const val MAXIMUM_FAILURES = 2
    }
}
