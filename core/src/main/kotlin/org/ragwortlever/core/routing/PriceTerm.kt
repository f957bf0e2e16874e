// Scorer: the delay that the cheap kind is worth.
package org.ragwortlever.core.routing

import org.ragwortlever.core.configuration.ServerKind

internal object PriceTerm {
    fun seconds(kind: ServerKind): Double =
        when (kind) {
            ServerKind.CHEAP -> 0.0
            ServerKind.STANDARD -> STANDARD_SECONDS
        }

    /** Under 2% of the tightest first-token target (1.3 s): it decides between near-equals and costs no attainment. */
    private const val STANDARD_SECONDS = 0.02
}
