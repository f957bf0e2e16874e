// The request limits that backend servers last named to this VM, so that only changes are logged.
package org.ragwortlever.daemon.gateway

import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.backend.RequestLimit
import java.util.concurrent.ConcurrentHashMap

/** Thread-safe. */
internal class NamedLimits {
    private data class Process(
        val server: String,
        val incarnation: Long,
    )

    private val limits = ConcurrentHashMap<Process, RequestLimit>()

    /** Records the [limit] that [server] named. Returns whether it differs from the last one. */
    fun record(
        server: BackendServer,
        limit: RequestLimit,
    ): Boolean {
        if (limits.size > MAX_PROCESSES) limits.clear()
        return limits.put(server.process, limit) != limit
    }

    /** Records that [server] named no limit. Returns whether it had named one before. */
    fun remove(server: BackendServer): Boolean = limits.isNotEmpty() && limits.remove(server.process) != null

    private val BackendServer.process get() = Process(id, incarnation)

    private companion object {
        // Above this, processes that have ended are forgotten together with the others, which are then logged once more.
        const val MAX_PROCESSES = 4096
    }
}
