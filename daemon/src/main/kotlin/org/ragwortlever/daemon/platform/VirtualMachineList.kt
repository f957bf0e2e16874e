// The platform's list of entry VMs. It lags, so it is a seed for membership and not the truth about it.
package org.ragwortlever.daemon.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.OkHttpClient
import okhttp3.Request
import org.ragwortlever.http.readUpTo
import java.io.IOException

/** An entry VM as the platform lists it. */
@Serializable
data class VirtualMachine(
    val id: String,
    val address: String,
    val zone: String,
    val region: String,
    val callerPort: Int,
    val operatorPort: Int,
    val peerPort: Int,
    val leaving: Boolean = false,
)

/** Reads the list from the platform at [baseUrl]. */
class VirtualMachineList(
    private val baseUrl: String,
    private val client: OkHttpClient,
) {
    private val json = Json { ignoreUnknownKeys = true }

    /** The list, or why it could not be read. */
    fun read(): Result<List<VirtualMachine>, String> =
        try {
            client.newCall(Request.Builder().url("$baseUrl/vms/v1/vms").build()).execute().use { response ->
                if (response.isSuccessful) {
                    Ok(
                        json.decodeFromString(response.body.readUpTo(MAX_LIST_BYTES).readUtf8()),
                    )
                } else {
                    Err("status ${response.code}")
                }
            }
        } catch (failure: IOException) {
            Err(failure.message ?: failure.javaClass.simpleName)
        } catch (failure: SerializationException) {
            Err("invalid list of VMs: ${failure.message}")
        }

    private companion object {
        const val MAX_LIST_BYTES = 4L * 1024 * 1024
    }
}
