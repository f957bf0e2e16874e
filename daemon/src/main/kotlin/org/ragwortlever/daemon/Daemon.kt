// Puts the daemon's parts together and starts and stops them in order.
package org.ragwortlever.daemon

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.Gauge
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import okhttp3.Dispatcher
import okhttp3.OkHttpClient
import org.http4k.core.Response
import org.http4k.server.Http4kServer
import org.http4k.server.asServer
import org.ragwortlever.core.configuration.ConfigurationSnapshot
import org.ragwortlever.core.error.Refusal
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.core.membership.Peer
import org.ragwortlever.core.settings.Settings
import org.ragwortlever.core.traffic.TrafficController
import org.ragwortlever.core.traffic.TrafficEvent
import org.ragwortlever.core.traffic.TrafficOptions
import org.ragwortlever.daemon.backend.LoadReader
import org.ragwortlever.daemon.caller.CallClaims
import org.ragwortlever.daemon.caller.CallerRoutes
import org.ragwortlever.daemon.caller.ChatCompletionHandler
import org.ragwortlever.daemon.caller.InFlightRequests
import org.ragwortlever.daemon.caller.NodeIncarnation
import org.ragwortlever.daemon.caller.ServiceCallHandler
import org.ragwortlever.daemon.caller.ServiceForwarder
import org.ragwortlever.daemon.caller.TrafficGateway
import org.ragwortlever.daemon.caller.entryVmsResponse
import org.ragwortlever.daemon.caller.toRefusal
import org.ragwortlever.daemon.caller.toResponse
import org.ragwortlever.daemon.configuration.ConfigurationReplica
import org.ragwortlever.daemon.configuration.ConfigurationRepository
import org.ragwortlever.daemon.control.ControlLoop
import org.ragwortlever.daemon.control.MonotonicClock
import org.ragwortlever.daemon.operator.ConfigurationEndpoints
import org.ragwortlever.daemon.operator.DecisionHistory
import org.ragwortlever.daemon.operator.OperatorRoutes
import org.ragwortlever.daemon.peer.PeerNode
import org.ragwortlever.daemon.platform.EtcdStore
import org.ragwortlever.daemon.platform.VirtualMachine
import org.ragwortlever.daemon.platform.VirtualMachineList
import org.ragwortlever.daemon.role.ExclusiveRoles
import org.ragwortlever.http.HttpListener
import org.ragwortlever.http.OkHttpHandler
import org.ragwortlever.http.UndertowListeners
import org.ragwortlever.http.UndertowServer
import org.ragwortlever.http.plainHttpClient
import org.ragwortlever.http.trackSends
import java.util.UUID
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** One entry VM's daemon. */
class Daemon(
    private val settings: Settings,
) : AutoCloseable {
    private val clock = MonotonicClock()
    private val control = ControlLoop()
    private val client: OkHttpClient =
        plainHttpClient()
            .retryOnConnectionFailure(false)
            .trackSends()
            .connectTimeout(CONNECT_TIMEOUT.toJavaDuration())
            .readTimeout(READ_TIMEOUT.toJavaDuration())
            .dispatcher(Dispatcher().apply { maxRequestsPerHost = settings.http.workerThreads })
            .build()
    private val store = EtcdStore(settings.platform, client)
    private val machineList = VirtualMachineList(settings.platform, client)
    private val decisions = DecisionHistory()
    private val open = InFlightRequests()
    private val claims = CallClaims(store, clock::now)
    private val roles = ExclusiveRoles(settings, store, client, clock::now) { machines }
    private val repository = ConfigurationRepository(store) { revision, text -> follower.accepted(revision, text) }
    private val gateway: TrafficGateway
    private val peers = PeerNode(
        settings = settings,
        control = control,
        clock = clock,
        onDistributionEvent = { follower.handle(it) },
        onMembersChanged = { gateway.post(TrafficEvent.MembersChanged(it)) },
    )
    private val follower: ConfigurationReplica
    private val loads: LoadReader
    private val metrics = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val callerServer: Http4kServer
    private val operatorServer: Http4kServer

    @Volatile
    private var machines: List<VirtualMachine> = emptyList()

    @Volatile
    private var stopping = false
    private var machineListTurns = 0

    init {
        val controller = TrafficController(ConfigurationSnapshot.EMPTY, TrafficOptions(zone = settings.zone))
        gateway = TrafficGateway(control, controller, clock) { decisions.add(it, clock.now()) }
        follower =
            ConfigurationReplica(
                self = Peer(settings.nodeId, settings.zone, settings.region),
                store = store,
                headStore = EtcdStore(settings.platform, client, HEAD_TIMEOUT),
                repository = repository,
                control = control,
                clock = clock,
                send = peers::send,
                onSnapshot = { snapshot ->
                    gateway.post(TrafficEvent.ConfigurationChanged(snapshot))
                    gateway.endRequestsWithWithdrawnKeys(snapshot)
                },
            )
        loads = LoadReader(client, follower::current, peers::liveNodeCount, gateway::post)
        Gauge.builder("ragwortlever.requests.open") { gateway.openRequests }.register(metrics)
        Gauge.builder("ragwortlever.configuration.revision") { follower.current.revision }.register(metrics)
        val callers =
            HttpListener(
                settings.address,
                settings.callerPort,
                open.countRequests(callerRoutes().handler),
                reject = { _, rejection -> rejectedResponse(rejection.toRefusal(settings.http.bodyBytes)) },
            )
        callerServer = UndertowListeners(listOf(callers), settings.http.limits())
        operatorServer = operatorRoutes().handler.asServer(UndertowServer(settings.address, settings.operatorPort))
    }

    /** Port that callers connect to. */
    val callerPort: Int get() = callerServer.port()

    /** Port that operators connect to. */
    val operatorPort: Int get() = operatorServer.port()

    /** Port that other entry VMs connect to. */
    val peerPort: Int get() = peers.port

    fun start() {
        gateway.start()
        operatorServer.start()
        callerServer.start()
        peers.start(callerPort)
        follower.start()
        refreshMachines()
        loads.start()
        roles.start()
        control.every(MACHINE_LIST_PERIOD) { refreshMachinesInTurn() }
        logger.info {
            eventLine(
                "listening",
                "node" to settings.nodeId,
                "zone" to settings.zone,
                "callers" to "http://${settings.address}:$callerPort",
                "operators" to "http://${settings.address}:$operatorPort",
                "peers" to "${settings.address}:$peerPort",
            )
        }
    }

    /** Stops gracefully: announces it, serves on while callers may still come, and waits for running answers. */
    fun drain() {
        stopping = true
        peers.announceLeaving()
        logger.info { eventLine("draining", "node" to settings.nodeId, "open" to open.count) }
        val announced = clock.now()
        val callersKeepAddress = settings.drain.entryVmMaxAgeSeconds.seconds + DRAIN_MARGIN
        while (clock.now() < announced + callersKeepAddress) Thread.sleep(DRAIN_POLL_MILLISECONDS)
        val limit = clock.now() + settings.drain.streamSeconds.seconds
        while (open.count > 0 && clock.now() < limit) Thread.sleep(DRAIN_POLL_MILLISECONDS)
        logger.info { eventLine("drained", "node" to settings.nodeId, "open" to open.count) }
    }

    override fun close() {
        callerServer.stop()
        operatorServer.stop()
        roles.close()
        loads.close()
        follower.close()
        claims.close()
        peers.close()
        control.close()
        client.dispatcher.executorService.shutdown()
        client.connectionPool.evictAll()
    }

    private fun callerRoutes(): CallerRoutes {
        val chat =
            ChatCompletionHandler(
                gateway = gateway,
                client = client,
                snapshot = follower::current,
                usage = roles.usage::record,
                maxBodyBytes = settings.http.bodyBytes,
                now = clock::now,
            )
        val self = NodeIncarnation(settings.nodeId, clock.now().toEpochMilliseconds())
        val forwarder = ServiceForwarder(OkHttpHandler(client), settings.zone)
        val services = ServiceCallHandler(forwarder, claims, self, follower::current, settings.http.bodyBytes, clock::now)
        return CallerRoutes(chat, services, ::entryVms, follower::current, follower::isTrusted)
    }

    private fun operatorRoutes(): OperatorRoutes =
        OperatorRoutes(
            configuration = ConfigurationEndpoints(repository, clock::now, follower::refresh),
            metrics = metrics,
            ready = { !stopping && follower.isTrusted },
            snapshot = follower::current,
            machines = ::machines,
            decisions = decisions,
            usage = roles.usage::readSealedWindowsJson,
        )

    private fun rejectedResponse(refusal: Refusal): Response {
        val requestId = UUID.randomUUID().toString()
        return refusal.toResponse(requestId).header("X-Request-Id", requestId)
    }

    private fun entryVms(caller: String) =
        entryVmsResponse(peers.entryVms(caller), settings.drain.entryVmMaxAgeSeconds)

    /** Reads the list less often in a larger fleet, so that the platform gets at most 4 calls a second. */
    private fun refreshMachinesInTurn() {
        machineListTurns++
        if (machineListTurns % maxOf(1, peers.liveNodeCount / NODES_PER_MACHINE_LIST_TURN) == 0) Thread(::refreshMachines).start()
    }

    private fun refreshMachines() {
        machineList
            .read()
            .onSuccess {
                machines = it
                peers.updateListedMachines(it)
            }
            .onFailure { logger.warn { eventLine("vm-list-failed", "error" to it) } }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        val CONNECT_TIMEOUT = 1.seconds
        val READ_TIMEOUT = 60.seconds

        // The store answers in milliseconds; a longer wait would make the proofs of an outage too old.
        val HEAD_TIMEOUT = 500.milliseconds
        val MACHINE_LIST_PERIOD = 2.seconds
        const val NODES_PER_MACHINE_LIST_TURN = 8

        // Covers a caller that asked just before the announcement and connects just before its answer expires.
        val DRAIN_MARGIN = 2.seconds
        const val DRAIN_POLL_MILLISECONDS = 50L
    }
}
