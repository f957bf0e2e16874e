// HTTP client for an entry VM: for its operators' port and, to send test requests, for its callers' port.
package org.ragwortlever.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import kotlin.time.Duration.Companion.minutes
import kotlin.time.toJavaDuration

/** The HTTP status and the body of a response. */
internal data class ApiResponse(
    val status: Int,
    val body: String,
) {
    val isSuccessful: Boolean get() = status in 200..299
}

/** Calls the port of an entry VM with the base URL [baseUrl]. */
internal class ApiClient(
    private val baseUrl: String,
) {
    private val client = OkHttpClient.Builder().readTimeout(READ_TIMEOUT.toJavaDuration()).build()

    /** Sends a request and returns the response with any status, or an error message if there is no response. */
    fun call(
        method: String,
        path: String,
        body: String? = null,
        headers: Map<String, String> = emptyMap(),
    ): Result<ApiResponse, String> {
        val request = Request.Builder().url(baseUrl.trimEnd('/') + path).method(method, body?.toRequestBody(JSON))
        headers.forEach { (name, value) -> request.header(name, value) }
        return try {
            client.newCall(request.build()).execute().use { Ok(ApiResponse(it.code, it.body.string())) }
        } catch (failure: IOException) {
            Err("$method $path at $baseUrl failed: ${failure.message}")
        }
    }

    private companion object {
        val JSON = "application/json".toMediaType()
        val READ_TIMEOUT = 5.minutes
    }
}
