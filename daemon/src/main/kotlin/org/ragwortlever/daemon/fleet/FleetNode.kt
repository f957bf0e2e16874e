package org.ragwortlever.daemon.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.Gauge
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
import org.ragwortlever.core.dispatch.QuarantinedPart
import org.ragwortlever.core.dispatch.ServiceRetryLimit
import org.ragwortlever.core.fleet.ChangeLog
import org.ragwortlever.core.fleet.CrashRecord
import org.ragwortlever.core.fleet.FleetChange
import org.ragwortlever.core.fleet.FleetRecord
import org.ragwortlever.core.fleet.FleetView
import org.ragwortlever.core.fleet.NodeRecord
import org.ragwortlever.core.fleet.QuarantineRecord
import org.ragwortlever.core.fleet.ServiceLoad
import org.ragwortlever.core.fleet.selectEntryVms
import org.ragwortlever.core.fleet.total
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.core.rollout.EvidenceReply
import org.ragwortlever.core.rollout.EvidenceReport
import org.ragwortlever.core.route.RouteTable
import org.ragwortlever.core.settings.FleetSettings
import org.ragwortlever.core.usage.UsageKeys
import org.ragwortlever.daemon.caller.InFlightRequests
import org.ragwortlever.daemon.control.ControlLoop
import org.ragwortlever.daemon.control.MonotonicClock
import org.ragwortlever.daemon.control.SuspendAwareClock
import org.ragwortlever.daemon.gateway.DispatchGateway
import org.ragwortlever.daemon.gateway.ResponseMemory
import org.ragwortlever.daemon.gateway.RouteTableSource
import org.ragwortlever.daemon.gateway.RoutedRequestHandler
import org.ragwortlever.daemon.gateway.ServerCheck
import org.ragwortlever.daemon.gateway.ServerClient
import org.ragwortlever.daemon.limits
import org.ragwortlever.daemon.role.FleetDuties
import org.ragwortlever.daemon.role.FleetState
import org.ragwortlever.http.HttpListener
import org.ragwortlever.http.UndertowListeners
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * An entry VM that takes its configuration and its backend servers from the platform's store.
 *
 * Creates and connects the components of the entry VM. Call [start] first, [drain] for a graceful stop, and [close] last.
 */
class FleetNode(
    private val settings: FleetSettings,
    private val ports: PlatformPorts,
) : AutoCloseable {
    private val clock = MonotonicClock()
    private val controlLoop = ControlLoop()
    private val metrics = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val inFlight = InFlightRequests()
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
    private val changeLog = ChangeLog()
    private val relay = Relay(changeLog, clock::now)
    private val peers = PeerClient()
    private val feed = RelayedChangeFeed(settings.nodeId, settings.zone, ports.feed, peers, { nodes.values }, { load }, clock::now)
    private val crashReporter = CrashReporter(settings.nodeId, ports.store)
    private val registration = NodeRegistration(record, ports.store, { feed.isRelayed }, ::loadToRegister)
    private val dispatcher = Dispatcher(DispatchOptions(settings.nodeId, settings.zone, settings.serviceRetryLimit()))
    private val poolDeciderClient = PoolDeciderClient(peers, { nodes }, ::reportCrash, ::reportQuarantine)
    private val quarantineAnnouncer = QuarantineAnnouncer(peers, ::otherVms)
    private val serverCheck = ServerCheck()
    private val gateway = DispatchGateway(controlLoop, dispatcher, clock, poolDeciderClient, serverCheck)
    private val serverClient = ServerClient(ports.headers)
    private val suspendAwareClock = SuspendAwareClock()
    private val contactQuestion = StoreContactQuestion(settings.nodeId, peers, ::otherVms, suspendAwareClock::now)
    private val storeGaps = StoreGapTracker(suspendAwareClock::now, contactQuestion::wasServed)
    private val follower = FleetFollower(feed, ports.decoder, FleetUpdateListener(), clock::now, changeLog, storeGaps)

    private val sendableServers = SendableServers()
    private val rolloutTraffic =
        RolloutTraffic {
            sendableServers.versionShares = it.shares
            gateway.post(it)
        }
    private val rolloutReporter =
        RolloutReporter(record, peers, { nodes[it] }, dispatcher::versionEvidence, ::receiveEvidence, rolloutTraffic::applyDecision)
    private val activeRoutes = ActiveRouteTable(clock.now(), clock::now)

    @Volatile
    private var nodes: Map<String, NodeRecord> = emptyMap()

    /** Time at which this VM ends requests that are still in flight; null until [drain] is called. */
    @Volatile
    private var stopDeadline: Instant? = null

    @Volatile
    private var load: Map<String, ServiceLoad> = emptyMap()

    @Volatile
    private var announcedServers: List<BackendServer> = emptyList()

    /** Number of servers in use whose entries have ended. */
    @Volatile
    private var keptServers = 0
    private val duties: FleetDuties? =
        ports.duties?.let {
            FleetDuties(
                node = settings.nodeId,
                bounds = settings.bounds,
                store = ports.store,
                ports = it,
                clock = clock,
                leaseClock = suspendAwareClock,
                fleet = ::fleetState,
                nodeCount = { nodes.size },
                handOver = { flush -> usageForwarder.forward(flush) },
            )
        }
    private val usageForwarder: UsageForwarder =
        UsageForwarder(settings.nodeId, peers, ::otherVms) { flush -> duties?.usage?.write(flush) }

    private val status =
        object : NodeStatus {
            override val isReady: Boolean get() = activeRoutes.table != null && stopDeadline == null

            override fun entryVms(
                caller: String,
                limit: Int,
            ): List<NodeRecord> = selectEntryVms(caller, registeredVms(), limit)
        }
    private val requestHandler =
        RoutedRequestHandler(
            gateway = gateway,
            servers = serverClient,
            headerNames = ports.headers,
            routes = RouteTableSource(activeRoutes::await) { activeRoutes.table },
            stopsAt = { stopDeadline },
            observer = MetricsObserver(metrics) { account -> duties?.usage?.record(account, promptTokens = 0, generatedTokens = 0) },
            memory = ResponseMemory(),
            isSendable = sendableServers::contains,
            now = clock::now,
        )
    private val rejections = RejectionMetrics(metrics)
    private val intakeLimits = ConfiguredIntake(settings) { activeRoutes.table?.document?.limits }
    private val httpServer = UndertowListeners(listeners(), settings.http.limits(), intakeLimits::current, rejections)

    /** Starts reading the store and serving requests. Does not block. */
    fun start() {
        Gauge.builder("ragwortlever.requests.open") { inFlight.count }.register(metrics)
        Gauge.builder("ragwortlever.configuration.version") { activeRoutes.table?.document?.version ?: 0 }.register(metrics)
        Gauge.builder("ragwortlever.store.epoch") { ports.store.epoch }.register(metrics)
        Gauge.builder("ragwortlever.servers.kept") { keptServers }.register(metrics)
        Gauge.builder("ragwortlever.clients.connections") { httpServer.openConnections }.register(metrics)
        Gauge.builder("ragwortlever.clients.bytes") { httpServer.reservedBytes }.register(metrics)
        follower.start()
        httpServer.start()
        controlLoop.every(LOAD_INTERVAL, ::runPeriodicTasks)
        logger.info { eventLine("started", "node" to settings.nodeId, "zone" to settings.zone, "callers" to settings.callers) }
    }

    /**
     * Registers this VM and starts its duties. Called when the first configuration is in use, because until then this
     * work would only delay the first responses.
     */
    private fun joinFleet() {
        registration.start()
        duties?.start()
    }

    /**
     * Stops gracefully: callers are directed to other VMs, and requests in flight are completed within the grace period.
     * Waits again after [flushLogs], which may be slow, for requests that arrived in the meantime. Blocks.
     */
    fun drain(flushLogs: () -> Unit = {}) {
        val drainStart = clock.now()
        val end = drainStart + settings.bounds.gracePeriodSeconds.seconds - EXIT_MARGIN
        stopDeadline = end
        logger.info { eventLine("draining", "node" to settings.nodeId, "open" to inFlight.count) }
        registration.close()
        duties?.close()
        crashReporter.close()
        val addressCacheEnd = drainStart + ADDRESS_CACHE_TIME
        while (clock.now() < end && (inFlight.count > 0 || clock.now() < addressCacheEnd)) Thread.sleep(POLL_INTERVAL.inWholeMilliseconds)
        logger.info {
            eventLine(
                "stopped",
                "node" to settings.nodeId,
                "open" to inFlight.count,
                "ms" to (clock.now() - drainStart).inWholeMilliseconds,
            )
        }
        flushLogs()
        while (clock.now() < end && inFlight.count > 0) Thread.sleep(POLL_INTERVAL.inWholeMilliseconds)
    }

    override fun close() {
        follower.close()
        httpServer.stop()
        serverClient.close()
        poolDeciderClient.close()
        quarantineAnnouncer.close()
        rolloutReporter.close()
        serverCheck.close()
        controlLoop.close()
    }

    private fun fleetState(): FleetState {
        val loads = otherVms().map { it.load } + relay.aggregateLoad(load)
        return FleetState(
            activeRoutes.table?.document,
            announcedServers,
            loads.total(),
            nodes.keys + settings.nodeId,
            rolloutTraffic.orders,
            rolloutTraffic.records,
        )
    }

    /** Load for the registration in the store; empty while a relay is used, because the VM then reports its load to the relay. */
    private fun loadToRegister(): Map<String, ServiceLoad> = if (feed.isRelayed) emptyMap() else relay.aggregateLoad(load)

    private fun runPeriodicTasks() {
        load = dispatcher.load(clock.now())
        rejections.log()
        if (rolloutTraffic.open.isEmpty()) return
        rolloutReporter.report(rolloutTraffic.open)
        controlLoop.after(VERSION_REPORT_DELAY) { rolloutReporter.report(rolloutTraffic.open) }
    }

    private fun receiveEvidence(report: EvidenceReport): EvidenceReply? = duties?.rollouts?.receive(report)

    private fun reportCrash(crash: DispatchEffect.ReportCrash) {
        logger.warn { eventLine("server-crashed", "server" to crash.server, "zone" to crash.zone, "requests" to crash.digests.size) }
        crashReporter.report(CrashRecord(crash.server, crash.zone, crash.digests))
    }

    private fun reportQuarantine(quarantine: DispatchEffect.ReportQuarantine) {
        val part = quarantine.part
        logger.warn { eventLine("part-quarantined", "service" to part.service, "part" to part.part, "crashed" to quarantine.processes) }
        quarantineAnnouncer.announce(part)
        crashReporter.report(QuarantineRecord(part.service, part.part, clock.now().toEpochMilliseconds()))
    }

    private fun otherVms(): List<NodeRecord> = nodes.values.filter { it.name != settings.nodeId }

    /** Processor cores by name of the entry VMs that can decide for pools of backend servers. */
    private fun deciderCores(): Map<String, Double> = nodes.values.filter { it.peers.isNotEmpty() }.associate { it.name to it.capacity }

    private fun registeredVms(): List<NodeRecord> = if (status.isReady) otherVms() + record else otherVms()

    private fun listeners(): List<HttpListener> {
        val (host, port) = settings.callers.split(':')
        val callers =
            HttpListener(
                host,
                port.toInt(),
                inFlight.countRequests(requestHandler::handle),
                maxBodyBytes = requestHandler::maxBodyBytes,
                reject = requestHandler::reject,
            )
        val metricsListener = HttpListener(settings.address, settings.metricsPort, ::serveMetrics, isNonBlocking = true, isInternal = true)
        val peerListener = HttpListener(settings.address, settings.peerPort, peerHandler(peerEndpoints()), isInternal = true)
        val optional = listOf(metricsListener.takeIf { settings.metricsPort > 0 }, peerListener.takeIf { settings.peerPort > 0 })
        return listOf(callers) + ports.listeners(settings, status) + optional.filterNotNull()
    }

    private fun peerEndpoints() =
        listOf(
            peerEndpoint(Relay.ROUTE, relay::handle),
            peerEndpoint(StoreContactQuestion.ROUTE) { storeGaps.report() },
            peerEndpoint(UsageForwarder.ROUTE, usageForwarder::writeForwarded),
            peerEndpoint(PoolDeciderClient.QUESTION_ROUTE, gateway::answer),
            peerEndpoint(RolloutReporter.ROUTE, ::receiveEvidence),
            peerEndpoint(QuarantineAnnouncer.ROUTE) { part ->
                gateway.post(DispatchEvent.QuarantineReceived(listOf(part)))
                QuarantineAcknowledgement
            },
            peerEndpoint(PoolDeciderClient.REPORT_ROUTE) { report ->
                gateway.post(DispatchEvent.ReportReceived(report))
                ReportAcknowledgement
            },
        )

    private fun serveMetrics(request: Request): Response =
        if (request.uri.path == "/metrics") Response(Status.OK).body(metrics.scrape()) else Response(Status.NOT_FOUND)

    private inner class FleetUpdateListener : FleetListener {
        override fun onFleetChanged(
            view: FleetView,
            changes: Set<FleetChange>,
        ) {
            if (FleetChange.NODES in changes) {
                nodes = view.nodes.toMap()
                gateway.post(DispatchEvent.NodesChanged(nodes.keys, deciderCores()))
            }
            // Before the servers, so that no request is sent to a server in a zone that is taken out.
            if (FleetChange.ZONES in changes) {
                logger.info { eventLine("zones-taken-out", "zones" to view.zonesTakenOut) }
                sendableServers.zonesTakenOut = view.zonesTakenOut
                gateway.post(DispatchEvent.TakenOutZonesChanged(view.zonesTakenOut))
            }
            if (FleetChange.SERVERS in changes) {
                announcedServers = view.servers.all.map { it.server }
                keptServers = view.servers.kept.size
                sendableServers.replace(view.servers.usable)
                gateway.post(DispatchEvent.ServersChanged(view.servers.usable))
            }
            if (FleetChange.ROLLOUTS in changes) rolloutTraffic.replace(view)
            if (FleetChange.CONFIGURATION in changes) applyConfiguration(view)
        }

        override fun onKeyRemoved(key: String) {
            if (key.startsWith(UsageKeys.LEASE)) duties?.handleLeaseKeyDeleted()
        }

        override fun onKeysListed(keys: Set<String>) {
            if (keys.none { it.startsWith(UsageKeys.LEASE) }) duties?.handleLeaseKeyDeleted()
        }

        override fun onCrashReported(record: FleetRecord.CrashReported) =
            gateway.post(DispatchEvent.CrashReportReceived(record.crash.server, record.crash.zone, record.crash.digests))

        override fun onPartQuarantined(record: FleetRecord.PartQuarantined) {
            val quarantine = record.quarantine
            val age = (clock.now() - Instant.fromEpochMilliseconds(quarantine.sinceMilliseconds)).coerceAtLeast(Duration.ZERO)
            val part = QuarantinedPart(quarantine.service, quarantine.part, age.inWholeMilliseconds)
            gateway.post(DispatchEvent.QuarantineReceived(listOf(part)))
        }

        private fun applyConfiguration(view: FleetView) {
            val document = view.document ?: return
            val previous = activeRoutes.table
            if (previous?.document?.version == document.version) return
            activeRoutes.replace(RouteTable(document))
            logger.info {
                eventLine(
                    "configured",
                    "version" to document.version,
                    "routes" to document.routes.size,
                    "accounts" to document.accounts.size,
                )
            }
            if (previous == null) joinFleet()
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        // The kill at the end of the grace period would interrupt an exit that begins later.
        val EXIT_MARGIN = 300.milliseconds

        // Some callers cache the list of entry VMs for three times its stated lifetime.
        val ADDRESS_CACHE_TIME = 3.seconds
        val POLL_INTERVAL = 50.milliseconds
        val LOAD_INTERVAL = 1.seconds

        // A bad version has to be found within seconds, over the reports of all VMs, so they come twice in each interval.
        val VERSION_REPORT_DELAY = 500.milliseconds
    }
}

private fun FleetSettings.serviceRetryLimit() = ServiceRetryLimit(bounds.retryRatio, bounds.retryExtra, bounds.retryWindowSeconds.seconds)
