// What operators configure for routed traffic: routes from host and path to services, limits and the keys of client accounts.
package org.ragwortlever.core.route

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What may be done again when an attempt of a request fails. */
enum class RouteKind {
    /** The request may run any number of times. */
    IDEMPOTENT,

    /** The request may run once at most. */
    AT_MOST_ONCE,

    /** The answer is a stream of events; it may run once at most unless the route is resumable. */
    STREAM,
}

/** A service of a route and its part of the route's traffic. */
data class WeightedService(
    val service: String,
    val weight: Int,
)

/**
 * A route of one host.
 *
 * @property prefix start of the paths that take this route; begins and ends with a slash.
 * @property timeout longest time that a caller is kept waiting for the end of its answer.
 * @property latencyTarget time to the answer, or to a stream's first event, that callers expect.
 * @property gapTarget longest pause between two events of a stream that callers expect; null for other answers.
 * @property tier rank of the requests; 0 is the highest.
 * @property maximumAttempts backend servers that one request may be sent to.
 * @property isOpen whether callers without a key may use the route.
 * @property isResumable whether a stream may go on at another backend server after its last whole event.
 */
data class Route(
    val name: String,
    val host: String,
    val prefix: String,
    val targets: List<WeightedService>,
    val kind: RouteKind,
    val timeout: Duration,
    val latencyTarget: Duration,
    val gapTarget: Duration? = null,
    val tier: Int = 0,
    val maximumAttempts: Int = 1,
    val isOpen: Boolean = false,
    val isResumable: Boolean = false,
) {
    /** Whether a request that may have run can be sent again. */
    val isRepeatable: Boolean get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && isResumable)
}

/**
 * How many backend servers of a service may run in each availability zone.
 *
 * @property bootTime time from an order until the new server takes requests.
 * @property spotPrice price of a server that may be reclaimed, as a part of the ordinary price; null when there are none.
 * @property zonePrices price of one server for one second, by availability zone.
 */
data class ScalingRange(
    val minimum: Int,
    val maximum: Int,
    val bootTime: Duration,
    val spotPrice: Double?,
    val zonePrices: Map<String, Double>,
)

/** What one model engine of a service can hold at once: requests, and tokens of prompts and answers. */
data class EngineSize(
    val slots: Int,
    val cacheTokens: Int,
)

/**
 * A service and its backend servers' common properties.
 *
 * @property connectionLimit connections that one server accepts from all entry VMs together.
 * @property coldRequestsPerSecond requests a second that one server bears from all entry VMs together while it is cold.
 */
data class ServiceDefinition(
    val name: String,
    val connectionLimit: Int,
    val coldRequestsPerSecond: Double,
    val scaling: ScalingRange? = null,
    val engine: EngineSize? = null,
)

/** A client account with its keys; [tier] goes before the tier of a route. */
data class AccountDefinition(
    val name: String,
    val keys: Set<String>,
    val tier: Int? = null,
)

/** What a caller may send and how long it may take. */
data class CallerLimits(
    val headerBytes: Int = 32 * 1024,
    val bodyBytes: Long = 8L * 1024 * 1024,
    val idleTimeout: Duration = 60.seconds,
)

/** One version of the configuration of routed traffic. */
data class RoutingDocument(
    val version: Long,
    val routes: List<Route>,
    val services: Map<String, ServiceDefinition>,
    val accounts: List<AccountDefinition>,
    val limits: CallerLimits = CallerLimits(),
)
