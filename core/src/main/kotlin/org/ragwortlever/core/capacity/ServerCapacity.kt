/*
 * Number of requests that this node may run on a backend server: the slots granted by the node that owns the server or,
 * without owners, a static share of the server's concurrency limit, which applies to all nodes together.
 */
package org.ragwortlever.core.capacity

import org.ragwortlever.core.admission.Lane
import org.ragwortlever.core.configuration.BackendServer
import kotlin.time.Instant

/** Capacity of a backend server as seen by this node. Not thread-safe. */
internal class ServerCapacity(
    val id: String,
    val limit: ConcurrencyLimit,
    private val allowances: Boolean,
    private val nodes: () -> NodeGroup,
) {
    lateinit var server: BackendServer

    /** Position of the first node that gets one of the slots that remain after an equal division. */
    var firstRemainderPosition = 0

    private var granted = 0
    private var grantedUntil = Instant.DISTANT_PAST

    /** Lanes that may send requests to the server. */
    var lanes: List<Lane> = emptyList()

    /** Running attempts of this node on the server. */
    val work = ArrayList<RunningWork>()

    /** When an attempt of this node on the server last started, yielded a token or ended. */
    var lastProgressAt = Instant.DISTANT_PAST

    /** Requests that wait in the engine according to its last load report. */
    var reportedWaiting = 0

    val running: Int get() = work.size

    /**
     * Concurrent requests that estimates assume for this node. Grants follow demand, so this is the static share even
     * while nothing is granted; otherwise no request would be accepted that could create demand.
     */
    val expectedSlots: Int get() = nodes().shareOf(limit.current(server), firstRemainderPosition)

    /** Stores the [slots] that the owner of the server has granted [until] the given time. */
    fun grant(
        slots: Int,
        until: Instant,
    ) {
        granted = slots
        grantedUntil = until
    }

    /** Number of requests that may start now; negative while more run than the limit allows. */
    fun freeSlots(now: Instant): Int {
        if (!allowances) return expectedSlots - running
        return (if (now < grantedUntil) granted else 0) - running
    }
}
