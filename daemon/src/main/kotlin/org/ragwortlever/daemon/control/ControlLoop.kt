// The one thread that owns all control state. Everything else posts to it.
package org.ragwortlever.daemon.control

import io.github.oshai.kotlinlogging.KotlinLogging
import org.ragwortlever.core.log.eventLine
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Runs posted tasks one after another on the control thread. A task that throws is logged and the loop goes on. */
class ControlLoop : AutoCloseable {
    private val executor: ScheduledExecutorService =
        Executors.newSingleThreadScheduledExecutor { task -> Thread(task, "control").apply { isDaemon = true } }

    /** Runs [task] on the control thread; after [close] it is dropped. */
    fun post(task: () -> Unit) {
        try {
            executor.execute { guarded(task) }
        } catch (_: RejectedExecutionException) {
            logger.debug { eventLine("control-task-dropped") }
        }
    }

    /** Runs [task] on the control thread after [delay]; after [close] it is dropped. */
    fun after(
        delay: Duration,
        task: () -> Unit,
    ) {
        try {
            executor.schedule({ guarded(task) }, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        } catch (_: RejectedExecutionException) {
            logger.debug { eventLine("control-task-dropped") }
        }
    }

    /** Runs [task] on the control thread every [period], counted from the end of the run before. */
    fun every(
        period: Duration,
        task: () -> Unit,
    ) {
        val milliseconds = period.inWholeMilliseconds
        executor.scheduleWithFixedDelay({ guarded(task) }, milliseconds, milliseconds, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        executor.shutdownNow()
    }

    private fun guarded(task: () -> Unit) {
        runCatching(task).onFailure { failure ->
            logger.error { eventLine("control-task-failed", "error" to failure) }
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
