// Speaks to the platform's key-value service through the JSON gateway of etcd version 3.
package org.ragwortlever.daemon.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.boolean
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.ragwortlever.core.store.Condition
import org.ragwortlever.core.store.StoreEntry
import org.ragwortlever.core.store.StoreFailure
import org.ragwortlever.core.store.StoreRead
import org.ragwortlever.core.store.Transaction
import org.ragwortlever.core.store.TransactionResult
import org.ragwortlever.core.store.Write
import org.ragwortlever.http.readLineUpTo
import org.ragwortlever.http.readUpTo
import java.io.IOException
import java.net.ConnectException
import java.util.Base64
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/**
 * A [KeyValueStore] at [baseUrl].
 *
 * @param callTimeout longest time for one call; a call that takes longer may still have taken effect.
 */
class EtcdStore(
    private val baseUrl: String,
    client: OkHttpClient,
    callTimeout: Duration = 2.seconds,
) : KeyValueStore {
    private val calls =
        client
            .newBuilder()
            .retryOnConnectionFailure(false)
            .callTimeout(callTimeout.toJavaDuration())
            .build()
    private val watches =
        client
            .newBuilder()
            .readTimeout(WATCH_SILENCE.toJavaDuration())
            .build()

    override fun read(key: String): Result<StoreRead, StoreFailure> = range(key, prefix = false)

    override fun readPrefix(prefix: String): Result<StoreRead, StoreFailure> = range(prefix, prefix = true)

    override fun commit(transaction: Transaction): Result<TransactionResult, StoreFailure> =
        call("/v3/kv/txn", transaction.toJson()) { answer ->
            // A failed condition is shown by the absence of a field, so the header is needed to tell it from an empty answer.
            val revision = answer.revision()
            val isCommitted = answer["succeeded"]?.jsonPrimitive?.boolean == true
            if (isCommitted) TransactionResult.Committed(revision) else TransactionResult.ConditionFailed
        }

    override fun grantLease(duration: Duration): Result<Long, StoreFailure> =
        call("/v3/lease/grant", buildJsonObject { put("TTL", duration.inWholeSeconds.toString()) }) {
            it.getValue("ID").jsonPrimitive.long
        }

    override fun keepAlive(lease: Long): Result<Boolean, StoreFailure> =
        call("/v3/lease/keepalive", leaseBody(lease)) { answer ->
            (answer.getValue("result").jsonObject["TTL"]?.jsonPrimitive?.long ?: 0) > 0
        }

    override fun revokeLease(lease: Long): Result<Unit, StoreFailure> =
        call("/v3/lease/revoke", leaseBody(lease)) { }

    override fun watch(
        prefix: String,
        fromRevision: Long,
        onRevision: (Long) -> Boolean,
    ): Result<Unit, StoreFailure> {
        val body =
            buildJsonObject {
                putJsonObject("create_request") {
                    put("key", prefix.encoded())
                    put("range_end", prefix.rangeEnd().encoded())
                    put("start_revision", fromRevision.toString())
                }
            }
        return exchange(watches, "/v3/watch", body) { response -> response.followWatch(onRevision) }
    }

    private fun range(
        key: String,
        prefix: Boolean,
    ): Result<StoreRead, StoreFailure> {
        val body =
            buildJsonObject {
                put("key", key.encoded())
                if (prefix) put("range_end", key.rangeEnd().encoded())
            }
        return call("/v3/kv/range", body) { answer ->
            StoreRead(answer.revision(), answer["kvs"]?.jsonArray.orEmpty().map { it.jsonObject.toEntry() })
        }
    }

    private fun leaseBody(lease: Long) = buildJsonObject { put("ID", lease.toString()) }

    private fun <T> call(
        path: String,
        body: JsonObject,
        decode: (JsonObject) -> T,
    ): Result<T, StoreFailure> =
        exchange(calls, path, body) { response ->
            decode(Json.parseToJsonElement(response.body.readUpTo(MAX_ANSWER_BYTES).readUtf8()).jsonObject)
        }

    private fun <T> exchange(
        client: OkHttpClient,
        path: String,
        body: JsonObject,
        read: (Response) -> T,
    ): Result<T, StoreFailure> {
        val request =
            Request
                .Builder()
                .url(baseUrl + path)
                .post(body.toString().toRequestBody(JSON))
                .build()
        return try {
            client.newCall(request).execute().use { response ->
                if (response.isSuccessful) Ok(read(response)) else Err(StoreFailure.NoAnswer("status ${response.code}"))
            }
        } catch (failure: ConnectException) {
            Err(StoreFailure.NotSent(failure.message.orEmpty()))
        } catch (failure: IOException) {
            Err(StoreFailure.NoAnswer(failure.message ?: failure.javaClass.simpleName))
        } catch (failure: IllegalArgumentException) {
            Err(StoreFailure.NoAnswer("invalid response of the store: ${failure.message}"))
        } catch (failure: NoSuchElementException) {
            Err(StoreFailure.NoAnswer("incomplete response of the store: ${failure.message}"))
        }
    }

    private companion object {
        val JSON = "application/json".toMediaType()

        // The service sends progress notifications more often than this.
        val WATCH_SILENCE = 10.seconds
    }
}

private fun Response.followWatch(onRevision: (Long) -> Boolean) {
    val source = body.source()
    while (true) {
        val line = source.readLineUpTo(MAX_ANSWER_BYTES) ?: return
        val result = Json.parseToJsonElement(line).jsonObject["result"]?.jsonObject ?: continue
        val revision = result["header"]?.jsonObject?.get("revision")?.jsonPrimitive?.long ?: continue
        if ("events" in result && !onRevision(revision)) return
    }
}

private fun JsonObject.revision(): Long = getValue("header").jsonObject.getValue("revision").jsonPrimitive.long

private fun JsonObject.toEntry(): StoreEntry =
    StoreEntry(
        key = getValue("key").jsonPrimitive.content.decoded(),
        value = this["value"]?.jsonPrimitive?.content.orEmpty().decoded(),
        createRevision = getValue("create_revision").jsonPrimitive.long,
        modifyRevision = getValue("mod_revision").jsonPrimitive.long,
        lease = this["lease"]?.jsonPrimitive?.long ?: 0,
    )

private fun Transaction.toJson(): JsonObject =
    buildJsonObject {
        putJsonArray("compare") { conditions.forEach { add(it.toJson()) } }
        putJsonArray("success") { writes.forEach { add(it.toJson()) } }
    }

private fun Condition.toJson(): JsonObject =
    buildJsonObject {
        put("key", key.encoded())
        put("result", "EQUAL")
        when (val condition = this@toJson) {
            is Condition.Absent -> {
                createdAt(0)
            }
            is Condition.CreatedAt -> {
                createdAt(condition.revision)
            }
            is Condition.ModifiedAt -> {
                put("target", "MOD")
                put("mod_revision", condition.revision.toString())
            }
        }
    }

private fun JsonObjectBuilder.createdAt(revision: Long) {
    put("target", "CREATE")
    put("create_revision", revision.toString())
}

private fun Write.toJson(): JsonObject =
    buildJsonObject {
        when (val write = this@toJson) {
            is Write.Delete -> {
                putJsonObject("request_delete_range") { put("key", write.key.encoded()) }
            }
            is Write.Put -> {
                putJsonObject("request_put") {
                    put("key", write.key.encoded())
                    put("value", write.value.encoded())
                    if (write.lease != 0L) put("lease", write.lease.toString())
                }
            }
        }
    }

private const val MAX_ANSWER_BYTES = 8L * 1024 * 1024

/** The first key after all keys that start with this prefix. */
private fun String.rangeEnd(): String = dropLast(1) + (last() + 1)

private fun String.encoded(): String = Base64.getEncoder().encodeToString(toByteArray())

private fun String.decoded(): String = String(Base64.getDecoder().decode(this))
