// What the router weighs; each mechanism has a flag, so that a measurement can take it out.
package org.ragwortlever.core.routing

/**
 * @property zone availability zone of this entry VM; null ignores distance.
 * @property regions region of each availability zone.
 * @property loadReports correct the queue delay by what servers report.
 * @property prefixCache expect prefixes that earlier requests of a session left behind.
 * @property observedSpeed scale by the observed token gap.
 * @property stragglers take slow and failing servers out until a probe brings them back.
 * @property price prefer the cheap kind among near-equals.
 */
data class RoutingOptions(
    val zone: String? = null,
    val regions: Map<String, String> = emptyMap(),
    val loadReports: Boolean = true,
    val prefixCache: Boolean = true,
    val observedSpeed: Boolean = true,
    val stragglers: Boolean = true,
    val price: Boolean = true,
)
