// Backend servers for tests.
package org.ragwortlever.core.backend

import kotlin.time.Duration

internal fun server(
    id: String,
    service: String = "engines",
    zone: String = "a",
    incarnation: Long = 1,
    isDraining: Boolean = false,
    coldFor: Duration = Duration.ZERO,
    isSpot: Boolean = false,
) = BackendServer(id, incarnation, service, "10.0.0.1:80", zone, 64, isDraining, coldFor, isSpot, sequence = 1)
