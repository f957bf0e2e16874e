// `/services/{name}/...`: checks calls to plain services, claims non-idempotent ones and forwards them.
package org.ragwortlever.daemon.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.binding
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import org.http4k.core.Headers
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.ragwortlever.core.configuration.ConfigurationSnapshot
import org.ragwortlever.core.configuration.PlainService
import org.ragwortlever.core.error.ErrorKind
import org.ragwortlever.core.error.Executed
import org.ragwortlever.core.error.Refusal
import org.ragwortlever.core.idempotency.ClaimedCall
import org.ragwortlever.core.idempotency.HeldClaim
import org.ragwortlever.core.idempotency.IDEMPOTENCY_KEY_HEADER
import org.ragwortlever.core.idempotency.IdempotencyKey
import org.ragwortlever.core.idempotency.MAXIMUM_RECORDED_BODY_BYTES
import org.ragwortlever.core.idempotency.RecordedOutcome
import java.io.IOException
import java.io.SequenceInputStream
import java.util.Base64
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Identifies this daemon process in claims: [incarnation] is its start time in epoch milliseconds. */
internal data class NodeIncarnation(
    val node: String,
    val incarnation: Long,
)

internal class ServiceCallHandler(
    private val forwarder: ServiceForwarder,
    private val claims: CallClaims,
    private val self: NodeIncarnation,
    private val snapshot: () -> ConfigurationSnapshot,
    private val maxBodyBytes: Long,
    private val now: () -> Instant,
) {
    /** Returns the response of the service, a recorded response of an earlier call with the same key, or a refusal. */
    fun handle(
        request: Request,
        requestId: String,
    ): Response = answer(request, requestId).fold(success = { it.withoutHopByHopHeaders() }, failure = { it.toResponse(requestId) })

    private fun answer(
        request: Request,
        requestId: String,
    ): Result<Response, Refusal> =
        binding {
            val arrival = now()
            val configuration = snapshot()
            val path = ServicePath.parse(request.uri.path).bind()
            val service = configuration.document.services[path.service].orRefusal("unknown service ${path.service}").bind()
            val identity = configuration.identify(request, path, service).bind()
            val body = request.readBody(maxBodyBytes).bind()
            val nonIdempotent = path.isNonIdempotent(service, request.method.name)
            val outgoing =
                OutgoingCall(
                    requestId = requestId,
                    method = request.method,
                    pathAndQuery = path.subpath + request.uri.query.let { if (it.isEmpty()) "" else "?$it" },
                    headers = request.forwardedHeaders(),
                    body = body,
                    isRepeatable = !nonIdempotent && request.method in REPEATABLE_METHODS,
                )
            val key = if (nonIdempotent) request.idempotencyKey(service).bind() else null
            if (key == null) return@binding forwarder.forward(configuration, service, outgoing).bind()
            val claimed =
                ClaimedCall(
                    account = identity.account,
                    service = path.service,
                    key = key,
                    digest = outgoing.digest(),
                    requestId = requestId,
                    node = self.node,
                    incarnation = self.incarnation,
                    retention = service.claimRetentionHours.hours,
                )
            val wait = configuration.document.classes.getValue(identity.requestClass).waitSeconds.seconds
            when (val claim = claims.claim(claimed, arrival + wait).bind()) {
                is ClaimResult.AlreadyExecuted -> claim.outcome.toResponse().bind()
                is ClaimResult.Held -> runClaimed(configuration, service, outgoing, claim.claim).bind()
            }
        }

    /** Forwards the call and records its outcome before the response is returned; releases the claim if the call did not run. */
    private fun runClaimed(
        configuration: ConfigurationSnapshot,
        service: PlainService,
        call: OutgoingCall,
        claim: HeldClaim,
    ): Result<Response, Refusal> {
        val response =
            forwarder
                .forward(configuration, service, call)
                .onFailure { if (it.executed == Executed.NO) claims.release(claim) }
                .getOrElse { return Err(it) }
        val stream = response.body.stream
        val start =
            try {
                stream.readNBytes(MAXIMUM_RECORDED_BODY_BYTES + 1)
            } catch (failure: IOException) {
                stream.close()
                return Err(Refusal(ErrorKind.OUTCOME_UNKNOWN, "reading the response failed: ${failure.message}", Executed.UNKNOWN))
            }
        val whole = start.size <= MAXIMUM_RECORDED_BODY_BYTES
        val kept = if (whole) Base64.getEncoder().encodeToString(start) else null
        claims.complete(claim, RecordedOutcome(response.status.code, response.header("Content-Type"), kept))
        val body = if (whole) start.inputStream().also { stream.close() } else SequenceInputStream(start.inputStream(), stream)
        return Ok(response.body(body, if (whole) start.size.toLong() else response.body.length))
    }

    private fun Request.idempotencyKey(service: PlainService): Result<IdempotencyKey?, Refusal> {
        val text = header(IDEMPOTENCY_KEY_HEADER)?.trim()
        if (text != null) return IdempotencyKey.parse(text)
        if (!service.requireIdempotencyKey) return Ok(null)
        return Err(Refusal(ErrorKind.MALFORMED_REQUEST, "header $IDEMPOTENCY_KEY_HEADER: the service requires it for this call"))
    }

    private companion object {
        val REPEATABLE_METHODS = setOf(Method.GET, Method.HEAD)
    }
}

/** Returns the account and class of the matching open route with the longest prefix, or else of the request's key. */
private fun ConfigurationSnapshot.identify(
    request: Request,
    path: ServicePath,
    service: PlainService,
): Result<CallerIdentity, Refusal> {
    val route = document.routes.entries.filter { path.isOpenedBy(it.value) }.maxByOrNull { it.value.pathPrefix.length }
    if (route == null) return identify(request, service.requestClass)
    return Ok(CallerIdentity("route:${route.key}", route.value.requestClass))
}

private fun PlainService?.orRefusal(detail: String): Result<PlainService, Refusal> =
    this?.let { Ok(it) } ?: Err(Refusal(ErrorKind.NOT_FOUND, detail))

private fun OutgoingCall.digest(): String = digestOf("$method $pathAndQuery\n", body)

private fun RecordedOutcome.toResponse(): Result<Response, Refusal> {
    val content = body ?: return Err(Refusal(ErrorKind.OUTCOME_UNKNOWN, bodyNotKept(status), Executed.UNKNOWN))
    val bytes = Base64.getDecoder().decode(content)
    val response = Response(Status(status, "")).body(bytes.inputStream(), bytes.size.toLong())
    return Ok(contentType?.let { response.header("Content-Type", it) } ?: response)
}

private fun bodyNotKept(status: Int): String =
    "the call has run with status $status; its response exceeded $MAXIMUM_RECORDED_BODY_BYTES bytes and was not recorded"

/** Returns the headers to forward: without hop-by-hop headers and without any header that contains the API key. */
private fun Request.forwardedHeaders(): Headers {
    val key = header("Authorization")?.substringAfter(' ')?.trim()?.takeIf { it.isNotEmpty() }
    return headers.filter { (name, value) ->
        name.lowercase() !in DROPPED_HEADERS && (key == null || value?.contains(key) != true)
    }
}

private fun Response.withoutHopByHopHeaders(): Response {
    val kept = headers.filter { (name, _) -> name.lowercase() !in HOP_BY_HOP_HEADERS }
    return Response(status).headers(kept).body(body)
}

private val HOP_BY_HOP_HEADERS = setOf("connection", "transfer-encoding", "keep-alive", "content-length", "te", "upgrade")
private val DROPPED_HEADERS = HOP_BY_HOP_HEADERS + setOf("authorization", "proxy-authorization", "cookie", "host", "expect")
