// The fake key-value service over HTTP, as the JSON gateway of etcd version 3 has it: keys and values in base64.
package org.ragwortlever.standins.platform

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.routes
import org.ragwortlever.core.store.Condition
import org.ragwortlever.core.store.StoreEntry
import org.ragwortlever.core.store.Transaction
import org.ragwortlever.core.store.TransactionResult
import org.ragwortlever.core.store.Write
import org.ragwortlever.http.ChunkStream
import org.ragwortlever.standins.json
import java.util.Base64
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds

/** Routes of the JSON gateway over [store]. */
internal class StoreEndpoints(
    private val store: StoreMachine,
    private val clock: Clock = Clock.System,
) {
    val routes: RoutingHttpHandler =
        routes(
            "/v3/kv/range" bind Method.POST to ::range,
            "/v3/kv/txn" bind Method.POST to ::transaction,
            "/v3/lease/grant" bind Method.POST to ::grant,
            "/v3/lease/keepalive" bind Method.POST to ::keepAlive,
            "/v3/lease/revoke" bind Method.POST to ::revoke,
            "/v3/watch" bind Method.POST to ::watch,
        )

    private fun range(request: Request): Response {
        val body = request.json()
        val key = body.text("key").decoded()
        val read = if ("range_end" in body) store.readPrefix(key, clock.now()) else store.read(key, clock.now())
        return answer(
            buildJsonObject {
                putJsonObject("header") { put("revision", read.revision.toString()) }
                putJsonArray("kvs") { read.entries.forEach { add(it.toJson()) } }
                put("count", read.entries.size.toString())
            },
        )
    }

    private fun transaction(request: Request): Response {
        val body = request.json()
        val conditions = body["compare"]?.jsonArray.orEmpty().map { it.jsonObject.toCondition() }
        val writes = body["success"]?.jsonArray.orEmpty().map { it.jsonObject.toWrite() }
        val result = store.commit(Transaction(conditions, writes), clock.now())
        return answer(
            buildJsonObject {
                putJsonObject("header") { put("revision", store.revision.toString()) }
                put("succeeded", result is TransactionResult.Committed)
            },
        )
    }

    private fun grant(request: Request): Response {
        val seconds = request.json().text("TTL").toLong()
        val lease = store.grantLease(maxOf(seconds.seconds, StoreMachine.SHORTEST_LEASE), clock.now())
        return answer(
            buildJsonObject {
                put("ID", lease.toString())
                put("TTL", seconds.toString())
            },
        )
    }

    private fun keepAlive(request: Request): Response {
        val lease = request.json().text("ID").toLong()
        val remaining = if (store.keepAlive(lease, clock.now())) store.leaseDuration(lease)?.inWholeSeconds ?: 0 else 0
        return answer(
            buildJsonObject {
                putJsonObject("result") {
                    put("ID", lease.toString())
                    put("TTL", remaining.toString())
                }
            },
        )
    }

    private fun revoke(request: Request): Response {
        store.revokeLease(request.json().text("ID").toLong(), clock.now())
        return answer(JsonObject(emptyMap()))
    }

    private fun watch(request: Request): Response {
        val create = request.json().getValue("create_request").jsonObject
        val prefix = create.text("key").decoded()
        val from = create["start_revision"]?.jsonPrimitive?.long ?: (store.revision + 1)
        return Response(Status.OK).header("Content-Type", "application/json").body(WatchStream(store, clock, prefix, from))
    }

    private fun answer(body: JsonObject): Response = Response(Status.OK).json(body.toString())
}

/** Lines of watch events, made while they are read. */
private class WatchStream(
    private val store: StoreMachine,
    private val clock: Clock,
    private val prefix: String,
    fromRevision: Long,
) : ChunkStream() {
    private var lastRevision = fromRevision - 1
    private var created = false
    private var idlePolls = 0

    override fun nextChunk(): ByteArray {
        if (!created) {
            created = true
            return """{"result":{"created":true}}""".asLine()
        }
        while (true) {
            val changes = store.changesAfter(lastRevision, prefix, clock.now())
            if (changes.isNotEmpty()) return render(changes)
            Thread.sleep(POLL_MILLISECONDS)
            // A progress notification lets the server notice that the watcher has gone.
            if (++idlePolls % PROGRESS_POLLS == 0) return """{"result":{"header":{"revision":"${store.revision}"}}}""".asLine()
        }
    }

    private fun render(changes: List<StoreChange>): ByteArray {
        lastRevision = changes.last().revision
        return buildJsonObject {
            putJsonObject("result") {
                putJsonObject("header") { put("revision", lastRevision.toString()) }
                putJsonArray("events") { changes.forEach { add(it.toJson()) } }
            }
        }.toString().asLine()
    }

    private fun String.asLine(): ByteArray = "$this\n".toByteArray()

    private companion object {
        const val POLL_MILLISECONDS = 10L
        const val PROGRESS_POLLS = 100
    }
}

private fun StoreChange.toJson(): JsonObject {
    val changed = entry
    return buildJsonObject {
        if (changed == null) {
            put("type", "DELETE")
            putJsonObject("kv") {
                put("key", key.encoded())
                put("mod_revision", revision.toString())
            }
        } else {
            put("kv", changed.toJson())
        }
    }
}

private fun StoreEntry.toJson(): JsonObject =
    buildJsonObject {
        put("key", key.encoded())
        put("value", value.encoded())
        put("create_revision", createRevision.toString())
        put("mod_revision", modifyRevision.toString())
        if (lease != 0L) put("lease", lease.toString())
    }

private fun JsonObject.toCondition(): Condition {
    val key = text("key").decoded()
    return when (val target = text("target")) {
        "CREATE" -> text("create_revision").toLong().let { if (it == 0L) Condition.Absent(key) else Condition.CreatedAt(key, it) }
        "MOD" -> Condition.ModifiedAt(key, text("mod_revision").toLong())
        else -> throw IllegalArgumentException("the stand-in does not compare $target")
    }
}

private fun JsonObject.toWrite(): Write {
    val put = this["request_put"]?.jsonObject
    if (put != null) return Write.Put(put.text("key").decoded(), put.text("value").decoded(), put["lease"]?.jsonPrimitive?.long ?: 0)
    return Write.Delete(getValue("request_delete_range").jsonObject.text("key").decoded())
}

private fun Request.json(): JsonObject = Json.parseToJsonElement(bodyString()).jsonObject

private fun JsonObject.text(name: String): String = getValue(name).jsonPrimitive.content

private fun String.encoded(): String = Base64.getEncoder().encodeToString(toByteArray())

private fun String.decoded(): String = String(Base64.getDecoder().decode(this))
