// Mechanisms of the traffic controller, each with a flag, so that a measurement can take one out.
package org.ragwortlever.core.traffic

import org.ragwortlever.core.capacity.NodeGroup

/**
 * Options of [TrafficController].
 *
 * @property nodes entry VMs that share the backend servers' concurrency, until the first [TrafficEvent.MembersChanged].
 * @property strictPriority higher tiers go first; without it the oldest request does.
 * @property minimumShares a class below its minimum share goes ahead of higher tiers.
 * @property guardShares a class goes ahead only when the higher tiers can bear the delay.
 * @property refuseOnArrival a request whose estimated wait exceeds that of its class is refused at once.
 * @property learnLengths answer lengths are learned; without it every answer counts as of the same length.
 * @property giveUpOnLoss requests that can't start in time after a loss of capacity are given up on at once.
 * @property fairAccounts accounts share a class by deficit round-robin; without it the order is that of arrival.
 * @property accountLimits the limits of accounts are enforced.
 * @property ramp a fresh server starts at its fresh concurrency; without it every server takes its maximum.
 * @property detectCold a server that has turned cold goes back to its fresh concurrency.
 * @property avoidLeaving leaving servers and zones that were taken out get no new work.
 * @property allowances slots that owners grant replace the static share of a server's limit.
 * @property retries a repeatable request whose attempt failed is started again.
 * @property excludeFailedServers a retry avoids the servers on which the request has failed.
 * @property zone availability zone of this entry VM; null ignores distance.
 * @property routeByFirstToken the server with the lowest expected first-token time is chosen; without it the least loaded.
 * @property loadReports queue delays are corrected by what servers report.
 * @property prefixCache prefixes that earlier requests of a session left behind shorten the expected prefill.
 * @property observedSpeed scores are scaled by the observed token gap.
 * @property stragglers slow and failing servers are out until a probe brings them back.
 * @property price the cheap kind is preferred among near-equals.
 * @property retryBudget retries are bounded by successes; without it only by the number of attempts.
 * @property crashSuspects a request that has crashed two servers is refused.
 */
data class TrafficOptions(
    val nodes: NodeGroup = NodeGroup.SINGLE,
    val strictPriority: Boolean = true,
    val minimumShares: Boolean = true,
    val guardShares: Boolean = true,
    val refuseOnArrival: Boolean = true,
    val learnLengths: Boolean = true,
    val giveUpOnLoss: Boolean = true,
    val fairAccounts: Boolean = true,
    val accountLimits: Boolean = true,
    val ramp: Boolean = true,
    val detectCold: Boolean = true,
    val avoidLeaving: Boolean = true,
    val allowances: Boolean = false,
    val retries: Boolean = true,
    val excludeFailedServers: Boolean = true,
    val zone: String? = null,
    val routeByFirstToken: Boolean = true,
    val loadReports: Boolean = true,
    val prefixCache: Boolean = true,
    val observedSpeed: Boolean = true,
    val stragglers: Boolean = true,
    val price: Boolean = true,
    val retryBudget: Boolean = true,
    val crashSuspects: Boolean = true,
)
