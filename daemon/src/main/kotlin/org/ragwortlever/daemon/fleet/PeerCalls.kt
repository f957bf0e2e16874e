/*
 * Calls between entry VMs: requests and responses in CBOR over HTTP on the peer port. A peer that does not respond within
 * the timeout is treated as absent; no decision waits for it longer.
 */
package org.ragwortlever.daemon.fleet

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor
import okhttp3.HttpUrl.Companion.toHttpUrlOrNull
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.http4k.core.Body
import org.http4k.core.HttpHandler
import org.http4k.core.Response
import org.http4k.core.Status
import org.ragwortlever.core.fleet.NodeRecord
import org.ragwortlever.http.KeepAliveSocketFactory
import org.ragwortlever.http.plainHttpClient
import org.ragwortlever.http.readUpTo
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.toJavaDuration

/** Path and message types of one kind of call between entry VMs. */
internal class PeerRoute<Req, Res>(
    val path: String,
    val requestSerializer: KSerializer<Req>,
    val responseSerializer: KSerializer<Res>,
)

/** Calls other entry VMs. */
@OptIn(ExperimentalSerializationApi::class)
internal class PeerClient {
    private val client: OkHttpClient =
        plainHttpClient()
            .retryOnConnectionFailure(false)
            .socketFactory(KeepAliveSocketFactory)
            .connectTimeout(CONNECT_TIMEOUT.toJavaDuration())
            .readTimeout(Duration.ZERO.toJavaDuration())
            .build()

    /** Returns the response of [peer], or a description of the error if none arrives within [timeout]. Blocks. */
    fun <Req, Res> call(
        peer: NodeRecord,
        route: PeerRoute<Req, Res>,
        request: Req,
        timeout: Duration,
    ): Result<Res, String> {
        val body = Cbor.encodeToByteArray(route.requestSerializer, request).toRequestBody()
        val url = "http://${peer.peers}${route.path}".toHttpUrlOrNull() ?: return Err("${peer.peers} is no address")
        val call = client.newCall(Request.Builder().url(url).post(body).build())
        call.timeout().timeout(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        return try {
            call.execute().use { response ->
                if (!response.isSuccessful) return Err("status ${response.code}")
                route.responseSerializer.decode(response.body.readUpTo(MAX_RESPONSE_BYTES).readByteArray())
            }
        } catch (failure: IOException) {
            Err(failure.toString())
        }
    }

    private companion object {
        val CONNECT_TIMEOUT = 300.milliseconds
    }
}

/** Serves [route] by [handle], which may block; if it returns null, the caller receives the status 503. */
@OptIn(ExperimentalSerializationApi::class)
internal fun <Req, Res> peerEndpoint(
    route: PeerRoute<Req, Res>,
    handle: (Req) -> Res?,
): Pair<String, HttpHandler> =
    route.path to { request ->
        route.requestSerializer.decode(request.body.stream.readNBytes(MAX_REQUEST_BYTES)).fold(
            success = { value -> handle(value)?.let { okResponse(Cbor.encodeToByteArray(route.responseSerializer, it)) } ?: UNAVAILABLE },
            failure = { Response(Status.BAD_REQUEST).body(it) },
        )
    }

/** Returns a handler that selects one of [endpoints] by the path of the request. */
internal fun peerHandler(endpoints: List<Pair<String, HttpHandler>>): HttpHandler {
    val byPath = endpoints.toMap()
    return { request -> byPath[request.uri.path]?.invoke(request) ?: Response(Status.NOT_FOUND) }
}

/** Returns the value in [bytes], or an error description. The library throws several kinds of exception for malformed input. */
@OptIn(ExperimentalSerializationApi::class)
private fun <T> KSerializer<T>.decode(bytes: ByteArray): Result<T, String> =
    try {
        Ok(Cbor.decodeFromByteArray(this, bytes))
    } catch (failure: RuntimeException) {
        Err(failure.toString())
    }

private fun okResponse(bytes: ByteArray) = Response(Status.OK).body(Body(bytes.inputStream(), bytes.size.toLong()))

private val UNAVAILABLE = Response(Status.SERVICE_UNAVAILABLE)
private const val MAX_REQUEST_BYTES = 64 * 1024

// A relay's answer may hold the changes of a whole fleet.
private const val MAX_RESPONSE_BYTES = 8L * 1024 * 1024
