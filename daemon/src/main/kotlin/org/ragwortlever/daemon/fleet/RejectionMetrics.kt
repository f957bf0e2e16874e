// Counts and logs what clients sent that was not accepted.
package org.ragwortlever.daemon.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import org.ragwortlever.core.intake.CloseReason
import org.ragwortlever.core.intake.RequestRejection
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.http.IntakeObserver
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Thread-safe. Hostile clients must not fill the log, so [log] writes one line for each reason and call. */
internal class RejectionMetrics(
    private val metrics: MeterRegistry,
) : IntakeObserver {
    private val unlogged = ConcurrentHashMap<String, AtomicInteger>()

    override fun onClosed(reason: CloseReason) = count("ragwortlever.clients.closed", reason.code)

    override fun onRejected(rejection: RequestRejection) = count("ragwortlever.clients.rejected", rejection.code)

    /** Logs what has been counted since the last call. */
    fun log() =
        unlogged.forEach { (reason, count) ->
            val since = count.getAndSet(0)
            if (since > 0) logger.warn { eventLine("clients-rejected", "reason" to reason, "count" to since) }
        }

    private fun count(
        name: String,
        reason: String,
    ) {
        metrics.counter(name, "reason", reason).increment()
        unlogged.computeIfAbsent(reason) { AtomicInteger() }.incrementAndGet()
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
