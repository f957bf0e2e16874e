// Handles routed requests over real loopback sockets, with scripted backend servers.
package org.ragwortlever.daemon.gateway

import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.backend.KnownServer
import org.ragwortlever.core.dispatch.DispatchEffect
import org.ragwortlever.core.dispatch.DispatchEvent
import org.ragwortlever.core.dispatch.DispatchOptions
import org.ragwortlever.core.dispatch.Dispatcher
import org.ragwortlever.core.dispatch.PoolQuestion
import org.ragwortlever.core.dispatch.PoolReply
import org.ragwortlever.core.dispatch.PoolReport
import org.ragwortlever.core.route.AccountDefinition
import org.ragwortlever.core.route.Route
import org.ragwortlever.core.route.RouteKind
import org.ragwortlever.core.route.RouteTable
import org.ragwortlever.core.route.RoutingDocument
import org.ragwortlever.core.route.ServiceDefinition
import org.ragwortlever.core.route.WeightedService
import org.ragwortlever.daemon.control.ControlLoop
import org.ragwortlever.http.HttpLimits
import org.ragwortlever.http.HttpListener
import org.ragwortlever.http.KeepAliveSocketFactory
import org.ragwortlever.http.UnconnectedSocketFactory
import org.ragwortlever.http.UndertowListeners
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * @param memory what the answers of all requests may hold together.
 * @param serverSockets creates the sockets of the connections to the servers.
 */
internal class RoutedRequestFixture(
    memory: ResponseMemory = ResponseMemory(),
    serverSockets: UnconnectedSocketFactory = KeepAliveSocketFactory,
) : AutoCloseable {
    private val control = ControlLoop()
    private val dispatcher = Dispatcher(DispatchOptions("vm-1", "a"))
    private val serverCheck = ServerCheck()
    private val gateway = DispatchGateway(control, dispatcher, Clock.System, UnreachablePeers, serverCheck)
    private val headerNames = RoutedHeaderNames()
    private val serverClient = ServerClient(headerNames, serverSockets)
    private val servers = ArrayList<ScriptedServer>()
    private val targets = listOf(WeightedService("service", 1))

    /** Accounts of the requests that a server has started to respond to, in order. */
    val startedAccounts = CopyOnWriteArrayList<String?>()

    /** When the VM cuts the requests that still run; null unless a shutdown was requested. */
    @Volatile
    var stopsAt: Instant? = null

    /** Time by which the threads of requests are behind the dispatcher. */
    @Volatile
    var threadDelay: Duration = Duration.ZERO

    /** Thrown inside the entry VM when a server has started to respond; null for none. */
    @Volatile
    var unexpectedError: RuntimeException? = null

    /** Waits until the dispatcher has no open request and returns whether that came about within a second. */
    fun awaitNoOpenRequest(): Boolean {
        val end = System.nanoTime() + 1.seconds.inWholeNanoseconds
        while (System.nanoTime() < end) {
            val open = CompletableFuture<Int>()
            control.post { open.complete(dispatcher.openRequests) }
            if (open.get() == 0) return true
        }
        return false
    }

    private val routes =
        listOf(
            route("/once/", RouteKind.AT_MOST_ONCE),
            route("/safe/", RouteKind.IDEMPOTENT),
            route("/stream/", RouteKind.STREAM),
            route("/resumable/", RouteKind.STREAM, isResumable = true),
            route("/short/", RouteKind.AT_MOST_ONCE, timeout = 0.3.seconds),
            route("/open/", RouteKind.IDEMPOTENT, isOpen = true),
        )
    private val document =
        RoutingDocument(
            1,
            routes,
            mapOf("service" to ServiceDefinition("service", 10, 1.0)),
            listOf(AccountDefinition("mill", setOf("key"))),
        )
    private val observer =
        object : RequestObserver {
            override fun onStarted(account: String?) {
                this@RoutedRequestFixture.startedAccounts += account
                unexpectedError?.let { throw it }
            }

            override fun onResponse(
                route: String,
                status: Int,
                timeToFirstByte: Duration,
                duration: Duration,
            ) = Unit
        }
    private val handler =
        RoutedRequestHandler(
            gateway,
            serverClient,
            headerNames,
            routes = RouteTableSource({ RouteTable(document) }, { RouteTable(document) }),
            stopsAt = { stopsAt },
            observer = observer,
            memory = memory,
            now = { Clock.System.now() + threadDelay },
        )
    private val listeners =
        UndertowListeners(listOf(HttpListener("127.0.0.1", 0, handler::handle)), HttpLimits(workerThreads = 8)).apply { start() }
    private val client = OkHttpClient.Builder().retryOnConnectionFailure(false).build()

    /** Starts servers with these scripts and announces them to the dispatcher as `server-0`, `server-1`, ... */
    fun startServers(
        vararg scripts: (ReceivedRequest, Socket) -> Unit,
        readsBody: (headers: Map<String, String>) -> Boolean = { true },
    ): List<ScriptedServer> {
        servers += scripts.map { ScriptedServer(readsBody, it) }
        val known =
            servers.mapIndexed { index, server ->
                KnownServer(
                    BackendServer("server-$index", 1, "service", server.address, "a", 8, false, Duration.ZERO, false, 1),
                    Instant.DISTANT_PAST,
                )
            }
        gateway.post(DispatchEvent.ServersChanged(known))
        return servers
    }

    fun post(
        path: String,
        body: String = "content",
        headers: Map<String, String> = emptyMap(),
    ): Response {
        val builder = Request.Builder().url("http://127.0.0.1:${listeners.port()}$path").post(body.toRequestBody())
        (mapOf("X-Request-Id" to "id-1", "Authorization" to "Bearer key") + headers).forEach { (name, value) ->
            builder.header(name, value)
        }
        return client.newCall(builder.header("Host", "host").build()).execute()
    }

    val port: Int get() = listeners.port()

    override fun close() {
        listeners.stop()
        serverClient.close()
        serverCheck.close()
        control.close()
        servers.forEach { it.close() }
    }

    private object UnreachablePeers : DispatchPeers {
        override fun ask(
            decider: String,
            question: PoolQuestion,
            timeout: Duration,
        ): PoolReply? = null

        override fun report(
            decider: String,
            report: PoolReport,
        ) = Unit

        override fun reportCrash(crash: DispatchEffect.ReportCrash) = Unit

        override fun reportQuarantine(quarantine: DispatchEffect.ReportQuarantine) = Unit
    }

    private fun route(
        prefix: String,
        kind: RouteKind,
        isResumable: Boolean = false,
        isOpen: Boolean = false,
        timeout: Duration = 5.seconds,
    ) = Route(prefix, "host", prefix, targets, kind, timeout, 1.seconds, maximumAttempts = 2, isOpen = isOpen, isResumable = isResumable)
}
