// Background threads of the exclusive roles, and blocking calls to the store.
package org.ragwortlever.daemon.role

import com.github.michaelbull.result.fold
import io.github.oshai.kotlinlogging.KotlinLogging
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.core.store.StoreAnswer
import org.ragwortlever.core.store.StoreCall
import org.ragwortlever.daemon.platform.KeyValueStore
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Background thread that calls [step] repeatedly until it is closed.
 *
 * @param pause time to sleep after a step that returned false, which means that it had nothing to do, or that threw an exception.
 * @param step work of one turn; an exception is logged and does not end the thread.
 */
internal class RoleThread(
    private val name: String,
    private val pause: Duration = DEFAULT_PAUSE,
    private val step: () -> Boolean,
) : AutoCloseable {
    @Volatile
    private var isClosed = false

    @Volatile
    private var thread: Thread? = null

    fun start() {
        thread = thread(name = name, isDaemon = true) { while (!isClosed) if (!runStep()) Thread.sleep(pause.inWholeMilliseconds) }
    }

    /** Stops the thread and waits until the running step has ended, so that nothing is sent after this function returns. */
    override fun close() {
        isClosed = true
        thread?.join()
    }

    private fun runStep(): Boolean =
        runCatching(step).getOrElse { failure ->
            logger.error { eventLine("role-step-failed", "thread" to name, "error" to failure) }
            false
        }

    companion object {
        private val logger = KotlinLogging.logger {}

        // Short compared with the lease times, which are seconds.
        internal val DEFAULT_PAUSE = 50.milliseconds
    }
}

/** Executes [call] and blocks until its answer. A failure of the store is returned as [StoreAnswer.Failed]. */
internal fun KeyValueStore.execute(call: StoreCall): StoreAnswer =
    when (call) {
        is StoreCall.Read -> {
            val result = if (call.prefix) readPrefix(call.key) else read(call.key)
            result.fold({ StoreAnswer.Found(it) }, { StoreAnswer.Failed(it) })
        }
        is StoreCall.Commit -> {
            commit(call.transaction).fold({ StoreAnswer.Transacted(it) }, { StoreAnswer.Failed(it) })
        }
        is StoreCall.GrantLease -> {
            grantLease(call.duration).fold({ StoreAnswer.LeaseGranted(it) }, { StoreAnswer.Failed(it) })
        }
        is StoreCall.KeepAlive -> {
            keepAlive(call.lease).fold({ StoreAnswer.KeptAlive(it) }, { StoreAnswer.Failed(it) })
        }
        is StoreCall.RevokeLease -> {
            revokeLease(call.lease).fold({ StoreAnswer.LeaseRevoked }, { StoreAnswer.Failed(it) })
        }
    }
