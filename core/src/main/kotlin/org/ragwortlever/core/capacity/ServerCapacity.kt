/*
 * How much work of this node a backend server may take: the slots that the server's owner has granted, or without
 * owners a static share of the server's concurrency limit, which holds over all nodes.
 */
package org.ragwortlever.core.capacity

import org.ragwortlever.core.admission.Lane
import org.ragwortlever.core.configuration.BackendServer
import kotlin.time.Instant

/** A backend server with its concurrency as this node sees it. */
internal class ServerCapacity(
    val id: String,
    val limit: ConcurrencyLimit,
    private val allowances: Boolean,
    private val nodes: () -> NodeGroup,
) {
    lateinit var server: BackendServer

    /** Position of the first node that gets one of the slots left over by an equal division. */
    var firstRemainderPosition = 0

    private var granted = 0
    private var grantedUntil = Instant.DISTANT_PAST

    /** Lanes that may use the server. */
    var lanes: List<Lane> = emptyList()

    /** Attempts of this node that run on the server. */
    val work = ArrayList<RunningWork>()

    /** When an attempt of this node on the server last started, brought a token or ended. */
    var lastProgressAt = Instant.DISTANT_PAST

    /** Requests that waited in the engine by its last load report. */
    var reportedWaiting = 0

    val running: Int get() = work.size

    /**
     * Concurrent requests that this node can count on in its estimates. Grants follow demand, so the static share
     * counts even while nothing is granted; otherwise no request would ever be accepted to demand a slot.
     */
    val expectedSlots: Int get() = nodes().shareOf(limit.current(server), firstRemainderPosition)

    /** Takes over the [slots] that the owner has granted [until] then. */
    fun grant(
        slots: Int,
        until: Instant,
    ) {
        granted = slots
        grantedUntil = until
    }

    /** Requests that may be started now; negative while more run than the limit allows. */
    fun freeSlots(now: Instant): Int {
        if (!allowances) return expectedSlots - running
        return (if (now < grantedUntil) granted else 0) - running
    }
}
