// Configuration of routed traffic: routes from host and path to services, caller limits and keys of client accounts.
package org.ragwortlever.core.route

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Whether a request can be retried after a failed attempt. */
enum class RouteKind {
    /** The request can run any number of times. */
    IDEMPOTENT,

    /** The request must run at most once. */
    AT_MOST_ONCE,

    /** The answer is a stream of events. The request must run at most once unless the route is resumable. */
    STREAM,
}

/** A service of a route. Its share of the traffic is [weight] divided by the sum of all weights of the route. */
data class WeightedService(
    val service: String,
    val weight: Int,
)

/**
 * A route: requests for one host and path prefix, and the services that run them.
 *
 * @property prefix prefix of the request paths; begins and ends with a slash.
 * @property timeout maximum time until the end of the answer.
 * @property latencyTarget time to the answer, or to the first event of a stream, that callers expect.
 * @property gapTarget longest pause between two events of a stream that callers expect; null for other answers.
 * @property tier priority tier of the requests; 0 is the highest.
 * @property maximumAttempts maximum number of backend servers that one request is sent to.
 * @property isOpen whether the route accepts requests without a key.
 * @property isResumable whether another backend server can continue a stream after its last complete event.
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
    /** Whether a request that may have run can be retried. */
    val isRepeatable: Boolean get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && isResumable)
}

/**
 * Bounds and prices for scaling a service; [minimum] and [maximum] are numbers of backend servers in each availability
 * zone.
 *
 * @property bootTime time from the order of a server until it takes requests.
 * @property spotPrice price of a spot server, which can be reclaimed, as a fraction of the ordinary price; null when
 *     there are none.
 * @property zonePrices price of one server per second, by availability zone.
 */
data class ScalingRange(
    val minimum: Int,
    val maximum: Int,
    val bootTime: Duration,
    val spotPrice: Double?,
    val zonePrices: Map<String, Double>,
)

/** Capacity of one model engine: [slots] concurrent requests, [cacheTokens] tokens of prompts and answers in memory. */
data class EngineSize(
    val slots: Int,
    val cacheTokens: Int,
)

/**
 * A service and the properties that its backend servers have in common.
 *
 * @property connectionLimit maximum connections of all entry VMs together to one server.
 * @property coldRequestsPerSecond maximum request rate of all entry VMs together to one server while it is cold.
 * @property scaling null if the number of servers is not scaled.
 * @property engine null for a plain service.
 */
data class ServiceDefinition(
    val name: String,
    val connectionLimit: Int,
    val coldRequestsPerSecond: Double,
    val scaling: ScalingRange? = null,
    val engine: EngineSize? = null,
)

/** A client account with its keys. [tier] takes precedence over the tier of a route; null leaves it to the route. */
data class AccountDefinition(
    val name: String,
    val keys: Set<String>,
    val tier: Int? = null,
)

/**
 * Limits on callers.
 *
 * @property headerBytes maximum total size of the request headers, in bytes.
 * @property bodyBytes maximum size of the request body, in bytes.
 * @property headerTimeout maximum time for the head of a request to arrive.
 * @property idleTimeout maximum time for which a connection may be idle.
 */
data class CallerLimits(
    val headerBytes: Int = 32 * 1024,
    val bodyBytes: Long = 8L * 1024 * 1024,
    val headerTimeout: Duration = 10.seconds,
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
