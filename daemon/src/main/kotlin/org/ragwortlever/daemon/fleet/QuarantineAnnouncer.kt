package org.ragwortlever.daemon.fleet

import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.Serializable
import org.ragwortlever.core.dispatch.QuarantinedPart
import org.ragwortlever.core.fleet.NodeRecord
import org.ragwortlever.core.log.eventLine
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/** Response to a [QuarantinedPart]; confirms that it was received. */
@Serializable
internal data object QuarantineAcknowledgement

/**
 * Tells the other entry VMs directly which prompt parts must not run, so that they know also while the store is down.
 *
 * A VM that can't be reached learns of the part with the next answer of a decider, or from the store.
 */
internal class QuarantineAnnouncer(
    private val peers: PeerClient,
    private val otherVms: () -> List<NodeRecord>,
) : AutoCloseable {
    private val executor =
        ThreadPoolExecutor(
            1,
            1,
            IDLE_SECONDS,
            TimeUnit.SECONDS,
            ArrayBlockingQueue(MAX_QUEUED),
            { task -> Thread(task, "quarantine").apply { isDaemon = true } },
            { _, _ -> logger.warn { eventLine("quarantine-announcement-dropped", "reason" to "queue is full") } },
        ).apply { allowCoreThreadTimeOut(true) }

    /** Sends [part] to all other entry VMs. Does not block. */
    fun announce(part: QuarantinedPart) =
        executor.execute {
            otherVms().filter { it.peers.isNotEmpty() }.forEach { node ->
                peers.call(node, ROUTE, part, TIMEOUT).getOrElse { reason ->
                    logger.info { eventLine("quarantine-not-delivered", "node" to node.name, "part" to part.part, "reason" to reason) }
                }
            }
        }

    override fun close() {
        executor.shutdownNow()
    }

    companion object {
        private val logger = KotlinLogging.logger {}
        val ROUTE = PeerRoute("/quarantine", QuarantinedPart.serializer(), QuarantineAcknowledgement.serializer())
        private val TIMEOUT = 100.milliseconds
        private const val MAX_QUEUED = 32
        private const val IDLE_SECONDS = 5L
    }
}
