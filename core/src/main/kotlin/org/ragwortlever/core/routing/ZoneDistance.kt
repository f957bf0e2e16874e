// Scorer: the round trip to the server's availability zone.
package org.ragwortlever.core.routing

internal class ZoneDistance(
    private val options: RoutingOptions,
) {
    fun seconds(zone: String): Double =
        when {
            options.zone == null || zone == options.zone -> 0.0
            options.regions[zone] == options.regions[options.zone] -> OTHER_ZONE_SECONDS
            else -> OTHER_REGION_SECONDS
        }

    private companion object {
        /** Zones of both deployments are 0.5 to 1 ms apart one way. */
        const val OTHER_ZONE_SECONDS = 0.002
        const val OTHER_REGION_SECONDS = 0.06
    }
}
