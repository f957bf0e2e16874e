// A small fake of a plain order service: it books what is posted to it and lists what it has booked.
package org.ragwortlever.standins.service

import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.routes
import org.ragwortlever.standins.StandInState
import org.ragwortlever.standins.json
import org.ragwortlever.standins.standIn
import java.util.concurrent.CopyOnWriteArrayList

/** A fake order service; each `POST /orders` books one more order. */
class ServiceStandIn(
    val state: StandInState = StandInState(),
) {
    private val orders = CopyOnWriteArrayList<String>()

    /** Bodies of the orders booked so far. */
    val booked: List<String> get() = orders

    val handler: HttpHandler =
        standIn(
            state,
            routes(
                "/orders" bind Method.POST to { request ->
                    orders += request.bodyString()
                    Response(Status.CREATED).json(
                        buildJsonObject {
                            put("order", orders.size)
                            put("status", "booked")
                        }.toString(),
                    )
                },
                "/orders" bind Method.GET to {
                    Response(Status.OK).json(buildJsonArray { orders.forEach { add(JsonPrimitive(it)) } }.toString())
                },
                "/stock" bind Method.GET to { Response(Status.OK).json("""{"goldLeafBooks":120,"birchDowels":9000}""") },
                "/health" bind Method.GET to { Response(Status.OK) },
            ),
        )
}
