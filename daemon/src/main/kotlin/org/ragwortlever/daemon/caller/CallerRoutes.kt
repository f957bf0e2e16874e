// The callers' port: gives each request an id, maps its path and turns failures into answers.
package org.ragwortlever.daemon.caller

import com.github.michaelbull.result.fold
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.ragwortlever.core.configuration.ConfigurationSnapshot
import org.ragwortlever.core.error.ErrorKind
import org.ragwortlever.core.error.Refusal
import org.ragwortlever.core.log.eventLine
import java.util.UUID

internal class CallerRoutes(
    private val chat: ChatCompletionHandler,
    private val services: ServiceCallHandler,
    private val entryVms: (caller: String) -> Response,
    private val snapshot: () -> ConfigurationSnapshot,
    private val isConfigurationTrusted: () -> Boolean,
) {
    val handler: HttpHandler = { request ->
        val requestId = UUID.randomUUID().toString()
        val response =
            runCatching { route(request, requestId) }.getOrElse { failure ->
                logger.error(failure) { eventLine("request-failed", "request" to requestId, "error" to failure.javaClass.simpleName) }
                internalRefusal(failure).toResponse(requestId)
            }
        logger.debug { eventLine("response", "request" to requestId, "path" to request.uri.path, "status" to response.status.code) }
        response.replaceHeader("X-Request-Id", requestId)
    }

    private fun route(
        request: Request,
        requestId: String,
    ): Response {
        val path = request.uri.path
        return when {
            path != ENTRY_VMS_PATH && !isConfigurationTrusted() -> staleConfigurationRefusal().toResponse(requestId)
            path == CHAT_PATH -> request.requireMethod(Method.POST, requestId) { chat.handle(request, requestId) }
            path == MODELS_PATH -> request.requireMethod(Method.GET, requestId) { listModels(request, requestId) }
            path == ENTRY_VMS_PATH -> request.requireMethod(Method.GET, requestId) { entryVms(request.callerName()) }
            path.startsWith(SERVICES_PREFIX) -> services.handle(request, requestId)
            else -> Refusal(ErrorKind.NOT_FOUND, "there is nothing at $path").toResponse(requestId)
        }
    }

    private fun listModels(
        request: Request,
        requestId: String,
    ): Response {
        val configuration = snapshot()
        return configuration.authenticate(request).fold(
            success = { account -> Response(Status.OK).header("Content-Type", "application/json").body(configuration.renderModelList(account)) },
            failure = { it.toResponse(requestId) },
        )
    }

    /** The caller's account, or its address when it shows no valid key. */
    private fun Request.callerName(): String = snapshot().authenticate(this).fold({ it }, { source?.address.orEmpty() })

    private companion object {
        val logger = KotlinLogging.logger {}
        const val CHAT_PATH = "/v1/chat/completions"
        const val MODELS_PATH = "/v1/models"
        const val ENTRY_VMS_PATH = "/v1/entry-vms"
        const val SERVICES_PREFIX = "/services/"
    }
}

private fun staleConfigurationRefusal() =
    Refusal(
        kind = ErrorKind.CONFIGURATION_STALE,
        detail = "this entry VM may have missed a change; use another one of /v1/entry-vms",
        retryAfterSeconds = STALE_RETRY_AFTER_SECONDS,
    )

private const val STALE_RETRY_AFTER_SECONDS = 1

private fun Request.requireMethod(
    allowed: Method,
    requestId: String,
    handle: () -> Response,
): Response {
    if (method == allowed) return handle()
    return Refusal(ErrorKind.METHOD_NOT_ALLOWED, "$method ${uri.path}: use $allowed").toResponse(requestId).header("Allow", allowed.name)
}

private fun ConfigurationSnapshot.renderModelList(account: String): String {
    val classes = document.accounts[account]?.classes.orEmpty().mapNotNull { document.classes[it] }
    val allowed = document.models.keys.filter { model -> classes.any { it.models.isEmpty() || model in it.models } }
    return buildJsonObject {
        put("object", "list")
        putJsonArray("data") {
            allowed.sorted().forEach { model ->
                addJsonObject {
                    put("id", model)
                    put("object", "model")
                }
            }
        }
    }.toString()
}
