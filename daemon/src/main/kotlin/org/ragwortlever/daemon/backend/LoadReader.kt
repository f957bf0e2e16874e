/*
 * Reads the load that backend servers report on `/metrics`. Each entry VM asks each server at intervals that grow with
 * the number of entry VMs, so that a server answers a bounded number of questions a second whatever the fleet's size.
 */
package org.ragwortlever.daemon.backend

import io.github.oshai.kotlinlogging.KotlinLogging
import okhttp3.Call
import okhttp3.Callback
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.Response
import org.ragwortlever.core.configuration.ConfigurationSnapshot
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.core.traffic.TrafficEvent
import org.ragwortlever.http.readUpTo
import java.io.IOException
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

internal class LoadReader(
    client: OkHttpClient,
    private val snapshot: () -> ConfigurationSnapshot,
    private val liveNodes: () -> Int,
    private val onReport: (TrafficEvent.LoadReport) -> Unit,
) : AutoCloseable {
    private val client = client.newBuilder().callTimeout(CALL_TIMEOUT.toJavaDuration()).build()
    private val executor = Executors.newSingleThreadScheduledExecutor { Thread(it, "load-reader").apply { isDaemon = true } }

    fun start() = schedule()

    override fun close() {
        executor.shutdownNow()
    }

    private fun schedule() {
        val pause = loadReadInterval(liveNodes())
        executor.schedule(::askAll, pause.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** Asks all servers at once, so that one that does not answer delays nothing. */
    private fun askAll() {
        snapshot().document.backendServers.forEach { (id, server) -> ask(id, server.address) }
        if (!executor.isShutdown) schedule()
    }

    private fun ask(
        id: String,
        address: String,
    ) = client.newCall(Request.Builder().url("$address/metrics").build()).enqueue(
        object : Callback {
            override fun onResponse(
                call: Call,
                response: Response,
            ) = response.use { answer ->
                try {
                    if (answer.isSuccessful) parseLoad(id, answer.body.readUpTo(MAX_METRICS_BYTES).readUtf8())?.let(onReport)
                } catch (failure: IOException) {
                    onFailure(call, failure)
                }
                Unit
            }

            override fun onFailure(
                call: Call,
                e: IOException,
            ) = logger.debug { eventLine("load-report-failed", "server" to id, "error" to e.message) }
        },
    )

    private companion object {
        val logger = KotlinLogging.logger {}
        val CALL_TIMEOUT = 1.seconds
        const val MAX_METRICS_BYTES = 1024L * 1024
    }
}

/** Time between two rounds of reading when [liveNodes] entry VMs read: each server gets at most 8 questions a second. */
internal fun loadReadInterval(liveNodes: Int): Duration = 1.seconds * maxOf(1.0, liveNodes / MAXIMUM_READS_PER_SECOND)

/** The load in the Prometheus text [metrics] of the server [id]; null when the text does not tell. */
internal fun parseLoad(
    id: String,
    metrics: String,
): TrafficEvent.LoadReport? {
    val running = metrics.gauge(RUNNING_METRIC) ?: return null
    val waiting = metrics.gauge(WAITING_METRIC) ?: return null
    return TrafficEvent.LoadReport(id, running, waiting)
}

/** The sum of a gauge over its label sets. */
private fun String.gauge(name: String): Int? =
    lineSequence()
        .filter { it.startsWith(name) && it.getOrNull(name.length) in GAUGE_NAME_ENDS }
        .mapNotNull { it.substringAfterLast(' ').toDoubleOrNull() }
        .toList()
        .takeIf { it.isNotEmpty() }
        ?.sum()
        ?.toInt()

private const val MAXIMUM_READS_PER_SECOND = 8.0
private const val RUNNING_METRIC = "vllm:num_requests_running"
private const val WAITING_METRIC = "vllm:num_requests_waiting"
private val GAUGE_NAME_ENDS = setOf(' ', '{')
