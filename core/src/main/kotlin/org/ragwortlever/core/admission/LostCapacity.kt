// Finds accepted requests that can no longer start within their wait because capacity was lost after they arrived.
package org.ragwortlever.core.admission

import kotlin.time.Instant

/**
 * Requests of the lane to give up on. Only requests that were accepted before the last loss of capacity count, and
 * each one that is given up on makes room for those behind it. Walks the whole lane, so it is called only on a loss
 * and, while requests from before it wait, at intervals.
 */
internal fun Lane.findRequestsLostToCapacityLoss(now: Instant): List<WaitingRequest> {
    if (servers.isEmpty()) return listWaiting()
    val lost = ArrayList<WaitingRequest>()
    listRetries().filterTo(lost) { request ->
        request.arrival < lastCapacityLossAt && (request.deadline < now || servers.all { it.id in request.failedServers })
    }
    queue.listByAccount().forEach { (weight, requests) ->
        var ownBacklog = 0.0
        requests.forEach { request ->
            val ahead = queue.tokensAheadAt(ownBacklog, request.cost, weight) * secondsPerToken
            val wait = estimateWaitSecondsBehind(ahead, request.cost * secondsPerToken, now)
            if (request.arrival < lastCapacityLossAt && wait > (request.deadline - now).inSeconds()) {
                lost += request
            } else {
                ownBacklog += request.cost
            }
        }
    }
    return lost
}
