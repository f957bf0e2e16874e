// The side of an entry VM that passes the store's changes on to other VMs.
package org.ragwortlever.daemon.fleet

import org.ragwortlever.core.fleet.ChangeLog
import org.ragwortlever.core.fleet.RelayRequest
import org.ragwortlever.core.fleet.RelayResponse
import org.ragwortlever.core.fleet.ServiceLoad
import org.ragwortlever.core.fleet.total
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Answers questions for changes from [log]. */
internal class Relay(
    private val log: ChangeLog,
    private val now: () -> Instant,
) {
    private class ReportedLoad(
        val load: Map<String, ServiceLoad>,
        val receivedAt: Instant,
    )

    private val loads = ConcurrentHashMap<String, ReportedLoad>()

    /** What the callers of this VM, [own], and of the VMs that ask here want of each service. */
    fun aggregateLoad(own: Map<String, ServiceLoad>): Map<String, ServiceLoad> {
        val current = now()
        loads.values.removeIf { current - it.receivedAt > LOAD_TTL }
        return (loads.values.map { it.load } + own).total()
    }

    fun handle(request: RelayRequest): RelayResponse {
        loads[request.node] = ReportedLoad(request.load, now())
        return log.await(request.revision, minOf(request.waitMilliseconds.milliseconds, MAX_WAIT), now)
    }

    companion object {
        val ROUTE = PeerRoute("/changes", RelayRequest.serializer(), RelayResponse.serializer())
        private val MAX_WAIT: Duration = 2.seconds
        private val LOAD_TTL: Duration = 4.seconds
    }
}
