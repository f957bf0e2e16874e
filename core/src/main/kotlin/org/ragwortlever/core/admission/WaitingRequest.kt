// A request that has been accepted and has no attempt running.
package org.ragwortlever.core.admission

import org.ragwortlever.core.traffic.RequestDescription
import kotlin.time.Instant

/**
 * A request in a queue.
 *
 * @property arrival when the request arrived; a retry keeps it.
 * @property deadline when service must have started.
 * @property cost expected length of the answer, in tokens.
 * @property failedServers servers on which an attempt of this request failed.
 * @property mayHaveRun whether a byte of the request may have reached a backend server.
 */
internal class WaitingRequest(
    val request: RequestDescription,
    val arrival: Instant,
    var deadline: Instant,
    val cost: Double,
) {
    var failedServers: Set<String> = emptySet()
    var failures = 0
    var mayHaveRun = false

    /** Tokens that earlier attempts brought to the caller. */
    var tokensOfEarlierAttempts = 0

    /** Whether the request still waits; a queue drops others when it meets them. */
    var isWaiting = true
}
