// Records the times of routed requests as metrics, and the requests that count as usage.
package org.ragwortlever.daemon.fleet

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.ragwortlever.daemon.gateway.RequestObserver
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** @param recordUsage counts a request of an account that a server has started to respond to. */
internal class MetricsObserver(
    private val metrics: MeterRegistry,
    private val recordUsage: (account: String) -> Unit,
) : RequestObserver {
    override fun onStarted(account: String?) {
        account?.let(recordUsage)
    }

    override fun onResponse(
        route: String,
        status: Int,
        timeToFirstByte: Duration,
        duration: Duration,
    ) {
        timer("ragwortlever.request.first", route, status).record(timeToFirstByte.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        timer("ragwortlever.request", route, status).record(duration.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun timer(
        name: String,
        route: String,
        status: Int,
    ): Timer = Timer.builder(name).tag("route", route).tag("status", status.toString()).register(metrics)
}
