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

/**
 * Serves the store's changes in [log] to other entry VMs, so that they need not read them from the store.
 *
 * Thread-safe.
 */
internal class Relay(
    private val log: ChangeLog,
    private val now: () -> Instant,
) {
    private class ReportedLoad(
        val load: Map<String, ServiceLoad>,
        val receivedAt: Instant,
    )

    private val loads = ConcurrentHashMap<String, ReportedLoad>()

    /** Returns the sum by service of [own], the load of this VM, and the recent loads of the VMs that use this relay. */
    fun aggregateLoad(own: Map<String, ServiceLoad>): Map<String, ServiceLoad> {
        val current = now()
        loads.values.removeIf { current - it.receivedAt > LOAD_TTL }
        return (loads.values.map { it.load } + own).total()
    }

    /** Records the sender's load and returns the changes after its revision. Blocks up to [MAX_WAIT] for the first change. */
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
