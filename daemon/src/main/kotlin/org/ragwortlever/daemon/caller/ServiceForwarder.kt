// Forwards calls to servers of plain services. A repeatable call is tried on at most two servers.
package org.ragwortlever.daemon.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapError
import io.github.oshai.kotlinlogging.KotlinLogging
import okio.ByteString
import org.http4k.core.Headers
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Uri
import org.ragwortlever.core.configuration.ConfigurationSnapshot
import org.ragwortlever.core.configuration.PlainService
import org.ragwortlever.core.configuration.ServiceServer
import org.ragwortlever.core.configuration.ZoneState
import org.ragwortlever.core.error.ErrorKind
import org.ragwortlever.core.error.Executed
import org.ragwortlever.core.error.Refusal
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.http.NotSentException
import org.ragwortlever.http.ReceivedBody
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger

/**
 * A call in the form that is sent to a server.
 *
 * @property pathAndQuery undecoded, relative to the server's address.
 * @property isRepeatable whether the call may be sent to a second server after a failure.
 */
internal class OutgoingCall(
    val requestId: String,
    val method: Method,
    val pathAndQuery: String,
    val headers: Headers,
    val body: ByteString,
    val isRepeatable: Boolean,
)

/** @param zone zone of this entry VM, whose servers are preferred. */
internal class ServiceForwarder(
    private val upstream: HttpHandler,
    private val zone: String,
) {
    private val nextServer = AtomicInteger()

    /** Returns the service's response with its body still open, or why there is none. Blocks. */
    fun forward(
        configuration: ConfigurationSnapshot,
        service: PlainService,
        call: OutgoingCall,
    ): Result<Response, Refusal> {
        val (first, server) = configuration.chooseServer(service, failed = null).getOrElse { return Err(it) }
        val answer = send(call, first, server)
        val failure = answer.getError() ?: return answer
        if (!call.isRepeatable) return Err(failure)
        val (second, other) = configuration.chooseServer(service, failed = first).getOrElse { return Err(failure) }
        logger.info { eventLine("service-call-retried", "request" to call.requestId, "failed" to first, "server" to second) }
        return send(call, second, other).mapError { it.copy(executed = maxOf(it.executed, failure.executed)) }
    }

    private fun send(
        call: OutgoingCall,
        id: String,
        server: ServiceServer,
    ): Result<Response, Refusal> {
        logger.info { eventLine("service-call", "request" to call.requestId, "server" to id) }
        val outgoing =
            Request(call.method, Uri.of(server.address.trimEnd('/') + "/" + call.pathAndQuery))
                .headers(call.headers)
                .header("X-Request-Id", call.requestId)
                .body(ReceivedBody(call.body))
        return try {
            Ok(upstream(outgoing))
        } catch (failure: NotSentException) {
            Err(Refusal(ErrorKind.BACKEND_SERVER_FAILED, "server $id: ${failure.message}", Executed.NO, RETRY_AFTER_SECONDS))
        } catch (failure: IOException) {
            Err(Refusal(ErrorKind.OUTCOME_UNKNOWN, "server $id: ${failure.message}", Executed.UNKNOWN))
        }
    }

    /** Chooses a server other than [failed] in a zone that is in service, in turn; this entry VM's zone has precedence. */
    private fun ConfigurationSnapshot.chooseServer(
        service: PlainService,
        failed: String?,
    ): Result<Pair<String, ServiceServer>, Refusal> {
        val usable = service.servers.filter { (id, server) -> id != failed && document.zones[server.zone]?.state == ZoneState.IN_SERVICE }
        val candidates = usable.filterValues { it.zone == zone }.ifEmpty { usable }.toList()
        if (candidates.isEmpty()) {
            return Err(
                Refusal(
                    kind = ErrorKind.NO_BACKEND_SERVER,
                    detail = "the service has no available server in a zone that is in service",
                    retryAfterSeconds = RETRY_AFTER_SECONDS,
                ),
            )
        }
        return Ok(candidates[Math.floorMod(nextServer.getAndIncrement(), candidates.size)])
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val RETRY_AFTER_SECONDS = 5
    }
}
