// The threads of the exclusive roles: each repeats one step and pauses when there is nothing to do.
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

/** Runs [step] again and again; a step that returns false had nothing to do. A step that throws is logged. */
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

    /** Lets the running step end, so that nothing is sent after the return. */
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

        // Short against the times of the leases, which are seconds.
        internal val DEFAULT_PAUSE = 50.milliseconds
    }
}

/** Makes [call] and waits for its answer. */
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
