package org.ragwortlever.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.log.eventLine
import java.io.IOException
import java.net.ConnectException
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Checks whether the process of a backend server that broke off an answer still takes connections.
 *
 * Only a refused connection counts: no answer at all may also be the fault of the network. A process that is ending may
 * still accept for a moment, so a check that succeeds is repeated once. One process is checked by one check at a time.
 */
internal class ServerCheck : AutoCloseable {
    private val running = ConcurrentHashMap.newKeySet<Pair<String, Long>>()
    private val executor =
        ThreadPoolExecutor(
            THREADS,
            THREADS,
            IDLE_SECONDS,
            TimeUnit.SECONDS,
            ArrayBlockingQueue(MAX_QUEUED_CHECKS),
            { task -> Thread(task, "server-check").apply { isDaemon = true } },
        ).apply { allowCoreThreadTimeOut(true) }

    /** Calls [onRefused] on another thread if [server] refuses connections. Does not block. */
    fun check(
        server: BackendServer,
        onRefused: () -> Unit,
    ) {
        val process = server.id to server.incarnation
        if (!running.add(process)) return
        val task = {
            try {
                if (isRefused(server)) onRefused()
            } catch (_: InterruptedException) {
                // The VM shuts down.
            } finally {
                running -= process
            }
        }
        try {
            executor.execute(task)
        } catch (_: RejectedExecutionException) {
            running -= process
            logger.warn { eventLine("server-check-dropped", "server" to server.id, "reason" to "queue is full") }
        }
    }

    override fun close() {
        executor.shutdownNow()
    }

    private fun isRefused(server: BackendServer): Boolean {
        repeat(ATTEMPTS) {
            Thread.sleep(DELAY.inWholeMilliseconds)
            if (refusesConnection(server.address)) return true
        }
        return false
    }

    private fun refusesConnection(address: String): Boolean =
        try {
            val (host, port) = address.split(':')
            Socket().use { it.connect(InetSocketAddress(host, port.toInt()), CONNECT_TIMEOUT.inWholeMilliseconds.toInt()) }
            false
        } catch (_: ConnectException) {
            true
        } catch (failure: IOException) {
            logger.debug { eventLine("server-check-failed", "address" to address, "error" to failure) }
            false
        }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val THREADS = 2
        const val IDLE_SECONDS = 5L
        const val MAX_QUEUED_CHECKS = 256
        const val ATTEMPTS = 2

        // The connections of a crashed process are reset shortly before its port is closed.
        val DELAY: Duration = 50.milliseconds
        val CONNECT_TIMEOUT: Duration = 300.milliseconds
    }
}
