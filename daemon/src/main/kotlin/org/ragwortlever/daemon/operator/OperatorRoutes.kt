// The operators' port: health, metrics, configuration and the state of nodes and backend servers.
package org.ragwortlever.daemon.operator

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes
import org.ragwortlever.core.configuration.ConfigurationSnapshot
import org.ragwortlever.daemon.platform.VirtualMachine

internal class OperatorRoutes(
    configuration: ConfigurationEndpoints,
    private val metrics: PrometheusMeterRegistry,
    private val ready: () -> Boolean,
    private val snapshot: () -> ConfigurationSnapshot,
    private val machines: () -> List<VirtualMachine>,
    private val decisions: DecisionHistory,
    private val usage: () -> String?,
) {
    val handler: HttpHandler =
        routes(
            "/healthz" bind Method.GET to { Response(Status.OK).body("ok\n") },
            "/readyz" bind Method.GET to { if (ready()) Response(Status.OK).body("ready\n") else notReady() },
            "/metrics" bind Method.GET to {
                Response(Status.OK).header("Content-Type", "text/plain; version=0.0.4").body(metrics.scrape())
            },
            "/v1/config" bind Method.GET to { configuration.get() },
            "/v1/config" bind Method.PUT to configuration::put,
            "/v1/config/history" bind Method.GET to { configuration.history() },
            "/v1/decisions/{request}" bind Method.GET to { decisionsOf(it.path("request").orEmpty()) },
            "/v1/nodes" bind Method.GET to { json(Json.encodeToString(machines())) },
            "/v1/usage" bind Method.GET to
                { usage()?.let(::json) ?: Response(Status.SERVICE_UNAVAILABLE).body("the store does not answer\n") },
            "/v1/servers" bind Method.GET to { json(Json.encodeToString(snapshot().document.backendServers)) },
        )

    private fun notReady() = Response(Status.SERVICE_UNAVAILABLE).body("not ready\n")

    private fun decisionsOf(request: String): Response {
        val known = decisions.of(request)
        return if (known.isEmpty()) Response(Status.NOT_FOUND) else json(Json.encodeToString(known))
    }

    private fun json(text: String) = Response(Status.OK).header("Content-Type", "application/json").body(text)
}
