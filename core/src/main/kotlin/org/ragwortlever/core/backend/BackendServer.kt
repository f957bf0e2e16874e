// A backend server as it announces itself.
package org.ragwortlever.core.backend

import kotlin.time.Duration

/**
 * One announcement of a backend server.
 *
 * @property incarnation start of the server's process in milliseconds since 1970; a higher one knows nothing of earlier requests.
 * @property address IP address and port.
 * @property slots requests that the server runs at once.
 * @property coldFor how long the server still bears only light load, counted from the announcement.
 * @property isSpot whether the server may be reclaimed at a few seconds' notice.
 * @property sequence number of the announcement.
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
)
