// The side of an entry VM that passes the store's changes on to other VMs.
package org.ragwortlever.daemon.fleet

import org.ragwortlever.core.fleet.ChangeLog
import org.ragwortlever.core.fleet.RelayResponse
import org.ragwortlever.core.fleet.RelayRequest
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
        val at: Instant,
    )

    private val loads = ConcurrentHashMap<String, ReportedLoad>()

    /** What the callers of this VM, [own], and of the VMs that ask here want of each service. */
    fun loadWith(own: Map<String, ServiceLoad>): Map<String, ServiceLoad> {
        val current = now()
        loads.values.removeIf { current - it.at > LOAD_LIFETIME }
        return (loads.values.map { it.load } + own).total()
    }

    fun answer(question: RelayRequest): RelayResponse {
        loads[question.node] = ReportedLoad(question.load, now())
        return log.await(question.revision, minOf(question.waitMilliseconds.milliseconds, LONGEST_WAIT), now)
    }

    companion object {
        val ROUTE = PeerRoute("/changes", RelayRequest.serializer(), RelayResponse.serializer())
        private val LONGEST_WAIT: Duration = 2.seconds
        private val LOAD_LIFETIME: Duration = 4.seconds
    }
}
