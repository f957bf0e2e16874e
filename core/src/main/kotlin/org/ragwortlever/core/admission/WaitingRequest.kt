// An accepted request without a running attempt.
package org.ragwortlever.core.admission

import org.ragwortlever.core.traffic.RequestDescription
import kotlin.time.Instant

/**
 * An accepted request that waits for a backend server.
 *
 * @property arrival when the request arrived; unchanged by retries.
 * @property deadline latest start of the next attempt.
 * @property cost expected length of the answer in tokens.
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

    /** Tokens that earlier attempts generated. */
    var tokensOfEarlierAttempts = 0

    /** Whether the request still waits; queues remove others lazily. */
    var isWaiting = true
}
