/*
 * The running attempts. Each has its own id, and whatever carries an id that does not run is dropped, so that an
 * answer can never reach the wrong request.
 */
package org.ragwortlever.core.traffic

import org.ragwortlever.core.admission.Lane
import org.ragwortlever.core.admission.WaitingRequest
import org.ragwortlever.core.capacity.RunningWork
import org.ragwortlever.core.capacity.ServerCapacity
import kotlin.time.Instant

/** One attempt of a request on a backend server. */
internal class Attempt(
    val id: AttemptId,
    val waiting: WaitingRequest,
    val lane: Lane,
    val server: ServerCapacity,
    val startedAt: Instant,
) {
    val work = RunningWork(lane, startedAt)

    /** Attempts that ran on the server at the start, this one included. */
    val runningAtStart = server.running + 1
    var firstTokenAt: Instant? = null
    var tokens = 0
}

/** The running attempts by id and by request; a request has one at most. */
internal class Attempts {
    private val byId = HashMap<AttemptId, Attempt>()
    private val byRequest = HashMap<RequestId, Attempt>()
    private var lastId = 0L

    val size: Int get() = byId.size

    fun start(
        waiting: WaitingRequest,
        lane: Lane,
        server: ServerCapacity,
        now: Instant,
    ): Attempt {
        val attempt = Attempt(AttemptId(++lastId), waiting, lane, server, now)
        check(byRequest.put(waiting.request.id, attempt) == null) { "request ${waiting.request.id} has an attempt running" }
        byId[attempt.id] = attempt
        server.work += attempt.work
        server.lastProgressAt = now
        lane.running++
        return attempt
    }

    fun find(id: AttemptId): Attempt? = byId[id]

    fun ofRequest(request: RequestId): Attempt? = byRequest[request]

    /** Takes the attempt out and frees its place on the server. */
    fun end(id: AttemptId): Attempt? {
        val attempt = byId.remove(id) ?: return null
        byRequest.remove(attempt.waiting.request.id)
        attempt.server.work -= attempt.work
        attempt.lane.running--
        return attempt
    }
}
