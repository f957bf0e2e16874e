// `/v1/config` on the operators' port: reads the document and its history, and puts changed sections.
package org.ragwortlever.daemon.operator

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.ragwortlever.core.configuration.ConfigurationSubmission
import org.ragwortlever.core.configuration.REVISIONS_MEMBER
import org.ragwortlever.core.error.ErrorKind
import org.ragwortlever.core.error.Refusal
import org.ragwortlever.daemon.caller.toResponse
import org.ragwortlever.daemon.configuration.ConfigurationPut
import org.ragwortlever.daemon.configuration.ConfigurationRepository
import org.ragwortlever.daemon.configuration.PutFailure
import org.ragwortlever.daemon.configuration.StoredConfiguration
import java.util.UUID
import kotlin.time.Instant

internal class ConfigurationEndpoints(
    private val repository: ConfigurationRepository,
    private val now: () -> Instant,
    private val afterPut: () -> Unit,
) {
    /** The document with the revision of each section. */
    fun get(): Response = repository.load().fold(success = { json(it.render()) }, failure = { storeUnavailable(it.toString()) })

    /** The change records, oldest first. */
    fun history(): Response =
        repository.changesAfter(0).fold(
            success = { json(Json.encodeToString(it)) },
            failure = { storeUnavailable(it.toString()) },
        )

    /** Puts the sections that the body names. A refused put changes nothing. */
    fun put(request: Request): Response {
        val submission =
            ConfigurationSubmission.parse(request.bodyString()).getOrElse { faults ->
                return refuse(ErrorKind.INVALID_CONFIGURATION, faults.joinToString("; "))
            }
        val put =
            ConfigurationPut(
                author = request.query("author") ?: "unknown",
                sections = submission.sections,
                expectedRevisions = submission.seenRevisions,
            )
        return repository.put(put, now()).fold(
            success = {
                afterPut()
                json(Json.encodeToString(it))
            },
            failure = { it.toResponse(submission) },
        )
    }

    private fun PutFailure.toResponse(submission: ConfigurationSubmission): Response =
        when (this) {
            is PutFailure.Conflict -> {
                refuse(
                    ErrorKind.REVISION_CONFLICT,
                    "$.$section: revision ${current.revision} was put by ${current.author} at ${current.time}",
                )
            }
            is PutFailure.Invalid -> {
                refuse(ErrorKind.INVALID_CONFIGURATION, submission.locate(broken).joinToString("; "))
            }
            is PutFailure.Store -> {
                storeUnavailable(failure.toString())
            }
            PutFailure.Contention -> {
                refuse(ErrorKind.REVISION_CONFLICT, "too many other changes at the same time; try again")
            }
        }

    private fun storeUnavailable(detail: String) = refuse(ErrorKind.STORE_UNAVAILABLE, detail)

    private fun json(text: String) = Response(Status.OK).header("Content-Type", "application/json").body(text)

    private fun refuse(
        kind: ErrorKind,
        detail: String,
    ): Response {
        val requestId = UUID.randomUUID().toString()
        return Refusal(kind, detail).toResponse(requestId).header("X-Request-Id", requestId)
    }
}

private fun StoredConfiguration.render(): String {
    val revisions = JsonObject(head.sections.mapValues { JsonPrimitive(it.value.revision) })
    val members: Map<String, JsonElement> =
        mapOf<String, JsonElement>(REVISIONS_MEMBER to revisions) + sections.mapValues { JsonObject(it.value) }
    return PRETTY.encodeToString(JsonObject(members))
}

private val PRETTY = Json { prettyPrint = true }
