/*
 * A small fake of the platform: the key-value service, the ordering interface for backend servers, the usage
 * reports and the list of VMs, in one process.
 */
package org.ragwortlever.standins.platform

import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes
import org.ragwortlever.standins.StandInState
import org.ragwortlever.standins.json
import org.ragwortlever.standins.standIn
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList

/** An entry VM on the platform's list; the list lags behind reality. */
@Serializable
data class VirtualMachine(
    val id: String,
    val address: String,
    val zone: String,
    val region: String,
    val callerPort: Int,
    val operatorPort: Int,
    val peerPort: Int,
    val leaving: Boolean = false,
)

/** An order to start or stop a backend server, as the platform received it. */
@Serializable
data class ServerOrder(
    val zone: String,
    val action: String,
    val server: String,
    val kind: String,
    val fencing: Long,
)

/** A usage report, as the platform received it. */
@Serializable
data class UsageReport(
    val window: String,
    val body: String,
)

/** A fake platform. */
class PlatformStandIn(
    val state: StandInState = StandInState(),
    val store: StoreMachine = StoreMachine(),
) {
    /** Orders by id. */
    val orders: MutableMap<String, ServerOrder> = ConcurrentHashMap()

    /** Every usage report received, oldest first, repeats included. */
    val reports: MutableList<UsageReport> = CopyOnWriteArrayList()

    /** The list of entry VMs by id. */
    val virtualMachines: MutableMap<String, VirtualMachine> = ConcurrentHashMap()

    private val vmRoutes =
        routes(
            "/vms/v1/vms" bind Method.GET to { Response(Status.OK).json(Json.encodeToString(virtualMachines.values.toList())) },
        )

    private val orderRoutes =
        routes(
            "/orders/v1/orders/{id}" bind Method.PUT to ::putOrder,
            "/orders/v1/orders/{id}" bind Method.GET to ::getOrder,
            "/orders/v1/servers" bind Method.GET to { Response(Status.OK).json(Json.encodeToString(runningServers())) },
            "/usage/v1/windows/{window}" bind Method.PUT to ::putReport,
        )

    private val setUpRoutes =
        routes(
            "/stand-in/vms/{id}" bind Method.PUT to ::putVirtualMachine,
            "/stand-in/reports" bind Method.GET to { Response(Status.OK).json(Json.encodeToString(reports.toList())) },
            "/stand-in/orders" bind Method.GET to { Response(Status.OK).json(Json.encodeToString(orders.toMap())) },
        )

    private val storeHandler = standIn(state, StoreEndpoints(store).routes, record = false)
    private val recorded = standIn(state, routes(orderRoutes, vmRoutes), record = true)

    val handler: HttpHandler = { request ->
        val path = request.uri.path
        when {
            path.startsWith("/v3/") -> storeHandler(request)
            SET_UP_PREFIXES.any(path::startsWith) -> setUpRoutes(request)
            else -> recorded(request)
        }
    }

    private fun putOrder(request: Request): Response {
        val id = request.path("id").orEmpty()
        val order = Json.decodeFromString<ServerOrder>(request.bodyString())
        val known = orders.putIfAbsent(id, order)
        if (known != null && known.copy(fencing = order.fencing) != order) return Response(Status.CONFLICT)
        return Response(Status.OK).json(Json.encodeToString(known ?: order))
    }

    private fun getOrder(request: Request): Response {
        val order = orders[request.path("id").orEmpty()] ?: return Response(Status.NOT_FOUND)
        return Response(Status.OK).json(Json.encodeToString(order))
    }

    private fun runningServers(): List<String> =
        orders.values
            .groupBy { it.server }
            .filterValues { orders -> orders.count { it.action == "start" } > orders.count { it.action == "stop" } }
            .keys
            .sorted()

    private fun putReport(request: Request): Response {
        reports += UsageReport(request.path("window").orEmpty(), request.bodyString())
        return Response(Status.NO_CONTENT)
    }

    private fun putVirtualMachine(request: Request): Response {
        val machine = Json.decodeFromString<VirtualMachine>(request.bodyString())
        virtualMachines[machine.id] = machine
        return Response(Status.NO_CONTENT)
    }

    private companion object {
        val SET_UP_PREFIXES = listOf("/stand-in/vms", "/stand-in/reports", "/stand-in/orders")
    }
}
