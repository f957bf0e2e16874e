// Test fixture: a dispatcher with a clock, backend servers and requests.
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.backend.KnownServer
import org.ragwortlever.core.backend.server
import org.ragwortlever.core.route.EngineSize
import org.ragwortlever.core.route.Route
import org.ragwortlever.core.route.RouteKind
import org.ragwortlever.core.route.ServiceDefinition
import org.ragwortlever.core.route.WeightedService
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal class DispatcherFixture(
    node: String = "vm-1",
    retryLimit: ServiceRetryLimit = ServiceRetryLimit(),
) {
    val start = Instant.fromEpochSeconds(1000)
    var now = start
    val dispatcher = Dispatcher(DispatchOptions(node, "a", retryLimit))
    private var nextKey = 0L

    fun servers(vararg servers: BackendServer) {
        handle(DispatchEvent.ServersChanged(servers.map { KnownServer(it, now + it.coldFor) }))
    }

    fun engines(count: Int) = servers(*(1..count).map { server("engine-$it", zone = "abc"[it % 3].toString()) }.toTypedArray())

    fun handle(event: DispatchEvent): List<DispatchEffect> = dispatcher.handle(event, now)

    fun request(
        kind: RouteKind = RouteKind.STREAM,
        attempts: Int = 2,
        isResumable: Boolean = false,
        parts: List<PromptPart> = emptyList(),
        digest: String = "",
        tier: Int = 1,
        timeout: Duration = 5.seconds,
        service: String = "engines",
    ): RoutedRequest {
        val target = WeightedService(service, 1)
        val route =
            Route("route", "host", "/", listOf(target), kind, timeout, 1.seconds, maximumAttempts = attempts, isResumable = isResumable)
        val definition = ServiceDefinition(service, 100, coldRequestsPerSecond = 8.0, engine = EngineSize(64, 200_000))
        val key = ++nextKey
        return RoutedRequest(key, "request-$key", route, listOf(definition), "account", tier, parts, 100, digest, now + timeout)
    }

    /** Submits [request] and returns the server that it was sent to, or null when it was not sent. */
    fun submit(request: RoutedRequest): String? = sentTo(handle(DispatchEvent.RequestSubmitted(request)))

    /**
     * Ends the attempt and returns the server of the next one, or null when the request was refused or is complete.
     */
    fun end(
        request: RoutedRequest,
        end: AttemptEnd,
    ): String? = sentTo(handle(DispatchEvent.AttemptEnded(request.key, end)))

    fun sentTo(effects: List<DispatchEffect>): String? = effects.sentTo()
}

internal fun List<DispatchEffect>.refusal() = filterIsInstance<DispatchEffect.Refuse>().single().refusal

/** The id of the server that the only [DispatchEffect.Send] names, or null when none was sent. */
internal fun List<DispatchEffect>.sentTo(): String? =
    filterIsInstance<DispatchEffect.Send>()
        .singleOrNull()
        ?.server
        ?.server
        ?.id
