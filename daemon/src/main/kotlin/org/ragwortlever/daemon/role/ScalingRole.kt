// Orders backend servers for the whole fleet while this node holds the lease of the fleet's duties.
package org.ragwortlever.daemon.role

import io.github.oshai.kotlinlogging.KotlinLogging
import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.fleet.ServiceLoad
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.core.rollout.RolloutOrder
import org.ragwortlever.core.rollout.RolloutRecord
import org.ragwortlever.core.route.RoutingDocument
import org.ragwortlever.core.route.ScalingRange
import org.ragwortlever.core.scaling.RunningServers
import org.ragwortlever.core.scaling.ScalingPolicy
import org.ragwortlever.core.scaling.ServerDiscovery
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Desired number of servers of one kind, spot or on-demand, for [service] in [zone]. */
data class CapacityOrder(
    val service: String,
    val zone: String,
    val count: Int,
    val isSpot: Boolean,
)

/** Sends capacity orders to the ordering interface. */
fun interface CapacityOrderSender {
    /** Sends [order] under the fencing token [fencing]. */
    fun send(
        order: CapacityOrder,
        fencing: Long,
    ): SendOutcome
}

/**
 * State of the fleet from which capacity orders are computed.
 *
 * @property servers known backend servers of all services.
 * @property load load by service name.
 * @property nodes names of the entry VMs.
 * @property rolloutOrders roll-outs that the operators have ordered, by service.
 * @property rollouts decisions on roll-outs, by service.
 */
data class FleetState(
    val document: RoutingDocument?,
    val servers: List<BackendServer>,
    val load: Map<String, ServiceLoad>,
    val nodes: Set<String> = emptySet(),
    val rolloutOrders: Map<String, RolloutOrder> = emptyMap(),
    val rollouts: Map<String, RolloutRecord> = emptyMap(),
)

/** Each step computes the desired number of servers of every scaled service from its load, and orders them. */
internal class ScalingRole(
    private val lease: RoleLease,
    private val now: () -> Instant,
    private val fleet: () -> FleetState,
    private val orderSender: CapacityOrderSender,
    private val wallClock: () -> Instant = now,
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
            ?.filterNot { isUnderRollout(it.name, state) }
            ?.forEach { service -> service.scaling?.let { scale(service.name, it, state) } }
        return false
    }

    /**
     * Whether the servers of [service] are being replaced by those of another version. The platform starts and stops them
     * then, and an order computed from the servers of both versions would stop some that are needed.
     */
    private fun isUnderRollout(
        service: String,
        state: FleetState,
    ): Boolean {
        val order = state.rolloutOrders[service]
        val record = state.rollouts[service]
        if (order != null && record?.carriesOut(order) != true) return true
        if (record == null) return false
        val stageAge = wallClock() - Instant.fromEpochMilliseconds(record.stageSinceMilliseconds)
        return record.isOpen || stageAge < ROLLOUT_SETTLES
    }

    private fun scale(
        service: String,
        range: ScalingRange,
        state: FleetState,
    ) {
        val servers = state.servers.filter { it.service == service }
        val zones = range.zonePrices.keys.ifEmpty { servers.mapTo(HashSet()) { it.zone } }.sorted()
        // Any order, also one for more servers, stops the servers of its kind that it does not count. Therefore nothing is
        // ordered before all running servers are known.
        if (!discoveries.getOrPut(service, ::ServerDiscovery).recordCount(servers.size, now())) return
        val policy = policies.getOrPut(service) { ScalingPolicy() }
        val running = zones.associateWith { zone -> servers.filter { it.zone == zone }.countByKind() }
        val desired = policy.computeDesiredServers(range, state.load[service] ?: ServiceLoad(), zones, running, now())
        desired.forEach { (zone, wanted) ->
            // An on-demand server that is to be replaced by a spot server keeps running if no spot server is available; the next
            // step computes the counts again.
            val isSpotRefused = range.spotPrice != null && !send(CapacityOrder(service, zone, wanted.spot, isSpot = true), policy, state)
            if (!isSpotRefused) send(CapacityOrder(service, zone, wanted.onDemand, isSpot = false), policy, state)
        }
    }

    /**
     * Sends [order] unless it was confirmed within [REPEAT_INTERVAL] and is still in force. Returns false if the platform has no
     * such spot servers.
     */
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

    /**
     * Records that [order] is in force. Spot and on-demand servers together have a maximum, so spot servers are ordered again
     * once on-demand servers have made room.
     */
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

        // The servers of the version that is given up drain for some seconds after the end of a roll-out.
        val ROLLOUT_SETTLES = 8.seconds

        // An order stays in force until the next one; it is repeated in case not all of its servers were available.
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
