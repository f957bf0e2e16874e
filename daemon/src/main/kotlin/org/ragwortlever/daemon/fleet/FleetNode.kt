// Composes an entry VM that takes its configuration and its backend servers from the platform's store.
package org.ragwortlever.daemon.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.dispatch.DispatchEffect
import org.ragwortlever.core.dispatch.DispatchEvent
import org.ragwortlever.core.dispatch.DispatchOptions
import org.ragwortlever.core.dispatch.Dispatcher
import org.ragwortlever.core.dispatch.ServiceRetryLimit
import org.ragwortlever.core.fleet.ChangeLog
import org.ragwortlever.core.fleet.CrashRecord
import org.ragwortlever.core.fleet.FleetChange
import org.ragwortlever.core.fleet.FleetRecord
import org.ragwortlever.core.fleet.FleetView
import org.ragwortlever.core.fleet.NodeRecord
import org.ragwortlever.core.fleet.ServiceLoad
import org.ragwortlever.core.fleet.selectEntryVms
import org.ragwortlever.core.fleet.total
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.core.route.RouteTable
import org.ragwortlever.core.settings.FleetSettings
import org.ragwortlever.core.usage.UsageKeys
import org.ragwortlever.daemon.caller.InFlightRequests
import org.ragwortlever.daemon.control.ControlLoop
import org.ragwortlever.daemon.control.MonotonicClock
import org.ragwortlever.daemon.control.SuspendAwareClock
import org.ragwortlever.daemon.gateway.DispatchGateway
import org.ragwortlever.daemon.gateway.RequestObserver
import org.ragwortlever.daemon.gateway.RoutedHeaderNames
import org.ragwortlever.daemon.gateway.RoutedRequestHandler
import org.ragwortlever.daemon.gateway.ServerClient
import org.ragwortlever.daemon.limits
import org.ragwortlever.daemon.platform.ChangeFeed
import org.ragwortlever.daemon.platform.KeyValueStore
import org.ragwortlever.daemon.role.DutyPorts
import org.ragwortlever.daemon.role.FleetDuties
import org.ragwortlever.daemon.role.FleetState
import org.ragwortlever.http.HttpListener
import org.ragwortlever.http.UndertowListeners
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** What an entry VM says of itself to those who ask. */
interface NodeStatus {
    /** Whether this VM takes requests. */
    val isReady: Boolean

    /** Entry VMs that [caller] may use, at most [limit]. */
    fun entryVms(
        caller: String,
        limit: Int,
    ): List<NodeRecord>
}

/** How the platform is spoken to. [listeners] makes the endpoints beside the callers' one. */
class PlatformPorts(
    val store: KeyValueStore,
    val feed: ChangeFeed,
    val decoder: FleetDecoder,
    val headers: RoutedHeaderNames,
    val duties: DutyPorts?,
    val listeners: (FleetSettings, NodeStatus) -> List<HttpListener>,
)

class FleetNode(
    private val settings: FleetSettings,
    private val ports: PlatformPorts,
) : AutoCloseable {
    private val clock = MonotonicClock()
    private val control = ControlLoop()
    private val metrics = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val open = InFlightRequests()
    private val record =
        NodeRecord(
            name = settings.nodeId,
            incarnation = clock.now().toEpochMilliseconds(),
            address = settings.callers,
            zone = settings.zone,
            region = settings.region,
            capacity = settings.processorShare * settings.processors,
            peers = if (settings.peerPort > 0) "${settings.address}:${settings.peerPort}" else "",
        )
    private val log = ChangeLog()
    private val relay = Relay(log, clock::now)
    private val peers = PeerClient()
    private val feed = RelayedFeed(settings.nodeId, settings.zone, ports.feed, peers, { nodes.values }, { load }, clock::now)
    private val crashes = CrashReporter(settings.nodeId, ports.store)
    private val registration = NodeRegistration(record, ports.store, { feed.isRelayed }, ::loadToRegister)
    private val dispatcher = Dispatcher(DispatchOptions(settings.nodeId, settings.zone, settings.serviceRetryLimit()))
    private val poolPeers = PoolPeers(peers, { nodes }, ::crashed)
    private val gateway = DispatchGateway(control, dispatcher, clock, poolPeers)
    private val servers = ServerClient(ports.headers)
    private val follower = FleetFollower(feed, ports.decoder, Listener(), clock::now, log)

    private val routes = RoutesInForce(clock.now(), clock::now)

    @Volatile
    private var nodes: Map<String, NodeRecord> = emptyMap()

    /** When this VM ends what still runs here; null until it is told to stop. */
    @Volatile
    private var stopsAt: Instant? = null

    @Volatile
    private var load: Map<String, ServiceLoad> = emptyMap()

    @Volatile
    private var announced: List<BackendServer> = emptyList()
    private val duties: FleetDuties? =
        ports.duties?.let {
            FleetDuties(
                node = settings.nodeId,
                bounds = settings.bounds,
                store = ports.store,
                ports = it,
                clock = clock,
                leaseClock = SuspendAwareClock(),
                fleet = ::fleetState,
                nodeCount = { nodes.size },
                handOver = { flush -> courier.handOver(flush) },
            )
        }
    private val courier: UsageCourier =
        UsageCourier(settings.nodeId, peers, ::otherVms) { flush -> duties?.usage?.write(flush) }

    private val status =
        object : NodeStatus {
            override val isReady: Boolean get() = routes.table != null && stopsAt == null

            override fun entryVms(
                caller: String,
                limit: Int,
            ): List<NodeRecord> = selectEntryVms(caller, registeredVms(), limit)
        }
    private val calls =
        RoutedRequestHandler(gateway, servers, ports.headers, routes::await, { stopsAt }, Observer(), clock::now)
    private val server = UndertowListeners(listeners(), settings.http.limits())

    fun start() {
        Gauge.builder("ragwortlever.requests.open") { open.count }.register(metrics)
        Gauge.builder("ragwortlever.configuration.version") { routes.table?.document?.version ?: 0 }.register(metrics)
        follower.start()
        server.start()
        control.every(LOAD_PERIOD) { load = dispatcher.load(clock.now()) }
        logger.info { eventLine("started", "node" to settings.nodeId, "zone" to settings.zone, "callers" to settings.callers) }
    }

    /** Not before this VM can serve: until then other work would only delay its first answers. */
    private fun joinFleet() {
        registration.start()
        duties?.start()
    }

    /**
     * Stops gracefully: callers are sent elsewhere, and what runs here is finished while the grace period lasts. After
     * [flushLogs], which may take a while, requests that came in the meantime are finished too.
     */
    fun drain(flushLogs: () -> Unit = {}) {
        val began = clock.now()
        val end = began + settings.bounds.gracePeriodSeconds.seconds - STOP_MARGIN
        stopsAt = end
        logger.info { eventLine("draining", "node" to settings.nodeId, "open" to open.count) }
        registration.close()
        duties?.close()
        crashes.close()
        val callersKeepAddress = began + CALLERS_KEEP_ADDRESS
        while (clock.now() < end && (open.count > 0 || clock.now() < callersKeepAddress)) Thread.sleep(DRAIN_POLL.inWholeMilliseconds)
        logger.info {
            eventLine(
                "stopped",
                "node" to settings.nodeId,
                "open" to open.count,
                "ms" to (clock.now() - began).inWholeMilliseconds,
            )
        }
        flushLogs()
        while (clock.now() < end && open.count > 0) Thread.sleep(DRAIN_POLL.inWholeMilliseconds)
    }

    override fun close() {
        follower.close()
        server.stop()
        servers.close()
        poolPeers.close()
        control.close()
    }

    private fun fleetState(): FleetState {
        val loads = otherVms().map { it.load } + relay.loadWith(load)
        return FleetState(routes.table?.document, announced, loads.total())
    }

    /** A VM that asks a relay gives its load there. */
    private fun loadToRegister(): Map<String, ServiceLoad> = if (feed.isRelayed) emptyMap() else relay.loadWith(load)

    private fun crashed(crash: DispatchEffect.ReportCrash) {
        logger.warn { eventLine("server-crashed", "server" to crash.server, "zone" to crash.zone, "requests" to crash.digests.size) }
        crashes.report(CrashRecord(crash.server, crash.zone, crash.digests))
    }

    private fun otherVms(): List<NodeRecord> = nodes.values.filter { it.name != settings.nodeId }

    /** The VMs that can decide for a pool, and what they can bear. */
    private fun deciders(): Map<String, Double> = nodes.values.filter { it.peers.isNotEmpty() }.associate { it.name to it.capacity }

    private fun registeredVms(): List<NodeRecord> = if (status.isReady) otherVms() + record else otherVms()

    private fun listeners(): List<HttpListener> {
        val (host, port) = settings.callers.split(':')
        val callers = HttpListener(host, port.toInt(), open.countRequests(calls::handle))
        val metricsListener = HttpListener(settings.address, settings.metricsPort, ::metrics, isQuick = true)
        val peerListener = HttpListener(settings.address, settings.peerPort, peerHandler(peerEndpoints()))
        val optional = listOf(metricsListener.takeIf { settings.metricsPort > 0 }, peerListener.takeIf { settings.peerPort > 0 })
        return listOf(callers) + ports.listeners(settings, status) + optional.filterNotNull()
    }

    private fun peerEndpoints() =
        listOf(
            peerEndpoint(Relay.ROUTE, relay::answer),
            peerEndpoint(UsageCourier.ROUTE, courier::take),
            peerEndpoint(PoolPeers.QUESTIONS, gateway::answer),
            peerEndpoint(PoolPeers.REPORTS) { report ->
                gateway.post(DispatchEvent.ReportReceived(report))
                ReportTaken
            },
        )

    private fun metrics(request: Request): Response =
        if (request.uri.path == "/metrics") Response(Status.OK).body(metrics.scrape()) else Response(Status.NOT_FOUND)

    private inner class Listener : FleetListener {
        override fun changed(
            view: FleetView,
            changes: Set<FleetChange>,
        ) {
            if (FleetChange.NODES in changes) {
                nodes = view.nodes.toMap()
                gateway.post(DispatchEvent.NodesChanged(nodes.keys, deciders()))
            }
            // A request must not find servers before it is known which of them are taken out.
            if (FleetChange.ZONES in changes) {
                logger.info { eventLine("zones-taken-out", "zones" to view.zonesTakenOut) }
                gateway.post(DispatchEvent.TakenOutZonesChanged(view.zonesTakenOut))
            }
            if (FleetChange.SERVERS in changes) {
                announced = view.servers.all.map { it.server }
                gateway.post(DispatchEvent.ServersChanged(view.servers.usable))
            }
            if (FleetChange.CONFIGURATION in changes) configure(view)
        }

        override fun keyRemoved(key: String) {
            if (key == UsageKeys.LEASE) duties?.handleLeaseKeyDeleted()
        }

        override fun listed(keys: Set<String>) {
            if (UsageKeys.LEASE !in keys) duties?.handleLeaseKeyDeleted()
        }

        override fun crashSeen(record: FleetRecord.CrashReported) =
            gateway.post(DispatchEvent.CrashReportReceived(record.crash.server, record.crash.zone, record.crash.digests))

        private fun configure(view: FleetView) {
            val document = view.document ?: return
            val before = routes.table
            if (before?.document?.version == document.version) return
            routes.replace(RouteTable(document))
            logger.info {
                eventLine(
                    "configured",
                    "version" to document.version,
                    "routes" to document.routes.size,
                    "accounts" to document.accounts.size,
                )
            }
            if (before == null) joinFleet()
        }
    }

    private inner class Observer : RequestObserver {
        override fun onStarted(account: String?) {
            account?.let { duties?.usage?.record(it, promptTokens = 0, generatedTokens = 0) }
        }

        override fun onResponse(
            route: String,
            status: Int,
            timeToFirstByte: Duration,
            duration: Duration,
        ) {
            timer("ragwortlever.request.first", route, status).record(timeToFirstByte.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            timer("ragwortlever.request", route, status).record(duration.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        }

        private fun timer(
            name: String,
            route: String,
            status: Int,
        ): Timer = Timer.builder(name).tag("route", route).tag("status", status.toString()).register(metrics)
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        // The kill at the end of the grace period would cut what a later exit still does.
        val STOP_MARGIN = 300.milliseconds

        // Some callers keep an answer about entry VMs three times as long as it says.
        val CALLERS_KEEP_ADDRESS = 3.seconds
        val DRAIN_POLL = 50.milliseconds
        val LOAD_PERIOD = 1.seconds
    }
}

private fun FleetSettings.serviceRetryLimit() = ServiceRetryLimit(bounds.retryRatio, bounds.retryExtra, bounds.retryWindowSeconds.seconds)
