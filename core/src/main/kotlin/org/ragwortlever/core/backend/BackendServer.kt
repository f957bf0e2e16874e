// The announcement of a backend server.
package org.ragwortlever.core.backend

import kotlin.time.Duration

/**
 * One announcement of a backend server.
 *
 * @property incarnation start of the server's process, in milliseconds since 1970; a process with a higher value has no
 *   state from earlier requests.
 * @property address IP address and port.
 * @property slots number of requests that the server runs concurrently.
 * @property coldFor time from the announcement during which the server can only take light load (slow start).
 * @property isSpot whether the server runs on a spot instance, which may be reclaimed at a few seconds' notice.
 * @property sequence sequence number of the announcement.
 * @property version version of the software that the server runs; empty if it does not say.
 */
data class BackendServer(
    val id: String,
    val incarnation: Long,
    val service: String,
    val address: String,
    val zone: String,
    val slots: Int,
    val isDraining: Boolean,
    val coldFor: Duration,
    val isSpot: Boolean,
    val sequence: Long,
    val version: String = "",
)
