// What all stand-ins share: the record of received calls, the injected faults and the control endpoints.
package org.ragwortlever.standins

import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.http4k.core.Filter
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.core.then
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.routes
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.system.exitProcess

/** A call that a stand-in received. */
@Serializable
data class ReceivedCall(
    val method: String,
    val path: String,
    val headers: Map<String, String>,
    val body: String,
)

/**
 * Faults that a test injects with `POST /stand-in/fault`. A field that is left out is switched off.
 *
 * @property delayMilliseconds every answer is late by this much.
 * @property silent calls are accepted and not answered while this is on.
 * @property crash the process ends at the next call.
 * @property loseAnswers calls take effect and their answers are lost.
 * @property failStreamAfterTokens an engine breaks each stream after so many tokens.
 * @property tokenMilliseconds time between two tokens of an engine.
 * @property unavailable calls are answered with 503 and take no effect.
 */
@Serializable
data class Fault(
    val delayMilliseconds: Long = 0,
    val silent: Boolean = false,
    val crash: Boolean = false,
    val loseAnswers: Boolean = false,
    val failStreamAfterTokens: Int? = null,
    val tokenMilliseconds: Long? = null,
    val unavailable: Boolean = false,
)

/** The record and the faults of one stand-in. */
class StandInState {
    private val receivedCalls = CopyOnWriteArrayList<ReceivedCall>()

    /** Calls received so far, oldest first. */
    val received: List<ReceivedCall> get() = receivedCalls

    @Volatile
    var fault: Fault = Fault()

    internal fun record(request: Request) {
        receivedCalls +=
            ReceivedCall(
                method = request.method.name,
                path = request.uri.toString(),
                headers = request.headers.associate { (name, value) -> name to value.orEmpty() },
                body = request.bodyString(),
            )
    }
}

/** Adds recording, faults and the `/stand-in` endpoints to [handler]. */
fun standIn(
    state: StandInState,
    handler: HttpHandler,
    record: Boolean = true,
): HttpHandler {
    val faulty = faults(state, record).then(handler)
    val control = controlRoutes(state)
    return { request -> if (request.uri.path.startsWith("/stand-in/")) control(request) else faulty(request) }
}

private fun faults(
    state: StandInState,
    record: Boolean,
) = Filter { next ->
    { request ->
        val repeatable = request.body(request.bodyString())
        if (record) state.record(repeatable)
        val fault = state.fault
        if (fault.crash) exitProcess(CRASH_EXIT_CODE)
        while (state.fault.silent) Thread.sleep(SILENCE_CHECK_MILLISECONDS)
        if (fault.delayMilliseconds > 0) Thread.sleep(fault.delayMilliseconds)
        when {
            fault.unavailable -> Response(Status.SERVICE_UNAVAILABLE)
            fault.loseAnswers -> next(repeatable).let { throw LostAnswerException() }
            else -> next(repeatable)
        }
    }
}

/** Breaks the connection in place of an answer. */
class LostAnswerException : java.io.IOException("the stand-in loses this answer")

private fun controlRoutes(state: StandInState): RoutingHttpHandler =
    routes(
        "/stand-in/received" bind Method.GET to { Response(Status.OK).json(Json.encodeToString(state.received.toList())) },
        "/stand-in/fault" bind Method.POST to { request ->
            state.fault = Json.decodeFromString<Fault>(request.bodyString())
            Response(Status.NO_CONTENT)
        },
    )

internal fun Response.json(text: String): Response = header("Content-Type", "application/json").body(text)

private const val CRASH_EXIT_CODE = 3
private const val SILENCE_CHECK_MILLISECONDS = 20L
