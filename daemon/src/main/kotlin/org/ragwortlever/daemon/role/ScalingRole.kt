// Orders backend servers for the whole fleet while this node holds the duties' lease.
package org.ragwortlever.daemon.role

import io.github.oshai.kotlinlogging.KotlinLogging
import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.fleet.ServiceLoad
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.core.route.RoutingDocument
import org.ragwortlever.core.route.ScalingRange
import org.ragwortlever.core.scaling.RunningServers
import org.ragwortlever.core.scaling.ScalingPolicy
import org.ragwortlever.core.scaling.ServerDiscovery
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** How many servers of one kind should run for [service] in [zone]. */
data class CapacityOrder(
    val service: String,
    val zone: String,
    val count: Int,
    val isSpot: Boolean,
)

/** Sends orders to the ordering interface. */
fun interface CapacityOrderSender {
    fun send(
        order: CapacityOrder,
        fencing: Long,
    ): SendOutcome
}

/** What the fleet looks like to whoever orders servers. */
data class FleetState(
    val document: RoutingDocument?,
    val servers: List<BackendServer>,
    val load: Map<String, ServiceLoad>,
)

internal class ScalingRole(
    private val lease: RoleLease,
    private val now: () -> Instant,
    private val fleet: () -> FleetState,
    private val orderSender: CapacityOrderSender,
) : AutoCloseable {
    private val thread = RoleThread("scaling", STEP_PAUSE, ::step)
    private val policies = HashMap<String, ScalingPolicy>()
    private val discoveries = HashMap<String, ServerDiscovery>()
    private val confirmedAt = HashMap<CapacityOrder, Instant>()
    private var fencing = 0L

    fun start() = thread.start()

    override fun close() = thread.close()

    internal fun step(): Boolean {
        val held = lease.held()?.takeIf { it.isInCharge(now()) } ?: return false
        if (held.fencing != fencing) {
            fencing = held.fencing
            confirmedAt.clear()
        }
        val state = fleet()
        state.document
            ?.services
            ?.values
            ?.forEach { service -> service.scaling?.let { scale(service.name, it, state) } }
        return false
    }

    private fun scale(
        service: String,
        range: ScalingRange,
        state: FleetState,
    ) {
        val servers = state.servers.filter { it.service == service }
        val zones = range.zonePrices.keys.ifEmpty { servers.mapTo(HashSet()) { it.zone } }.sorted()
        // Any order, also one for more of one kind, stops the servers of this kind that it does not count.
        if (!discoveries.getOrPut(service, ::ServerDiscovery).recordCount(servers.size, now())) return
        val policy = policies.getOrPut(service) { ScalingPolicy() }
        val running = zones.associateWith { zone -> servers.filter { it.zone == zone }.countByKind() }
        val desired = policy.computeDesiredServers(range, state.load[service] ?: ServiceLoad(), zones, running, now())
        desired.forEach { (zone, wanted) ->
            // An onDemand server that makes room for a spot server stays if there is none; the next step counts anew.
            val isSpotRefused = range.spotPrice != null && !send(CapacityOrder(service, zone, wanted.spot, isSpot = true), policy, state)
            if (!isSpotRefused) send(CapacityOrder(service, zone, wanted.onDemand, isSpot = false), policy, state)
        }
    }

    /** Sends [order] unless it is in force; false when the platform has none of these servers. */
    private fun send(
        order: CapacityOrder,
        policy: ScalingPolicy,
        state: FleetState,
    ): Boolean {
        val last = confirmedAt[order]
        if (last != null && now() - last < REPEAT_INTERVAL) return true
        val outcome = orderSender.send(order, fencing)
        logger.info {
            eventLine(
                "capacity-order",
                "service" to order.service,
                "zone" to order.zone,
                "count" to order.count,
                "spot" to order.isSpot,
                "fencing" to fencing,
                "load" to state.load[order.service],
                "outcome" to outcome,
            )
        }
        when {
            outcome is SendOutcome.Answered && outcome.status == STATUS_OK -> {
                recordConfirmed(order)
            }
            outcome is SendOutcome.Answered && outcome.status == STATUS_CONFLICT && order.isSpot -> {
                policy.recordSpotUnavailable(order.zone, now())
                return false
            }
        }
        return true
    }

    /** Both kinds together have a maximum, so spot servers are ordered again once onDemand ones have made room. */
    private fun recordConfirmed(order: CapacityOrder) {
        val sameZone = confirmedAt.keys.filter { it.service == order.service && it.zone == order.zone }
        val (spot, onDemand) = sameZone.partition { it.isSpot }
        val makesRoom = !order.isSpot && onDemand.any { it.count > order.count }
        confirmedAt.keys.removeAll((if (order.isSpot || makesRoom) spot else emptyList()).toSet())
        if (!order.isSpot) confirmedAt.keys.removeAll(onDemand.toSet())
        confirmedAt[order] = now()
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        val STEP_PAUSE = 300.milliseconds

        // An order holds until the next one; it is repeated for the case that its servers could not all be had.
        val REPEAT_INTERVAL = 15.seconds
        const val STATUS_OK = 200
        const val STATUS_CONFLICT = 409
    }
}

private fun List<BackendServer>.countByKind(): RunningServers {
    val (leaving, serving) = partition { it.isDraining }
    return RunningServers(
        onDemand = serving.count { !it.isSpot },
        spot = serving.count { it.isSpot },
        warmSpot = serving.count { it.isSpot && it.coldFor <= Duration.ZERO },
        leavingSpot = leaving.count { it.isSpot },
    )
}
