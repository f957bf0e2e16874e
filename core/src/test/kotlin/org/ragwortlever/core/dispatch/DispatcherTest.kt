package org.ragwortlever.core.dispatch

import org.junit.jupiter.api.Test
import org.ragwortlever.core.backend.KnownServer
import org.ragwortlever.core.backend.ServerFailure
import org.ragwortlever.core.backend.server
import org.ragwortlever.core.error.ErrorKind
import org.ragwortlever.core.error.Executed
import org.ragwortlever.core.route.RouteKind
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class DispatcherTest {
    private val world = DispatcherFixture()

    @Test
    fun `given no backend server, when a request comes, then it is refused at once as not run and with a time to come back`() {
        val refusal = world.handle(DispatchEvent.RequestSubmitted(world.request())).refusal()
        expectThat(refusal) {
            get { kind }.isEqualTo(ErrorKind.NO_BACKEND_SERVER)
            get { executed }.isEqualTo(Executed.NO)
            get { retryAfterSeconds }.isNotNull()
        }
    }

    @Test
    fun `given a request that may run once, when its attempt may have run, then it is never sent again nor called not run`() {
        world.engines(3)
        val request = world.request(RouteKind.AT_MOST_ONCE)
        world.submit(request)
        val effects = world.handle(DispatchEvent.AttemptEnded(request.key, AttemptEnd.Failed(ServerFailure.BROKEN)))
        expectThat(world.sentTo(effects)).isNull()
        expectThat(effects.refusal()) {
            get { executed }.isEqualTo(Executed.UNKNOWN)
            get { kind }.isEqualTo(ErrorKind.BACKEND_SERVER_FAILED)
        }
    }

    @Test
    fun `given a request that may run once, when a server proves that it did not run, then another server gets it`() {
        world.engines(3)
        val request = world.request(RouteKind.AT_MOST_ONCE, attempts = 1)
        val first = world.submit(request)
        val second = world.end(request, AttemptEnd.NotRun(ServerFailure.BUSY))
        expectThat(second).isNotNull().isNotEqualTo(first)
    }

    @Test
    fun `given two attempts, when both may have run, then a third server is not asked`() {
        world.engines(5)
        val request = world.request(RouteKind.IDEMPOTENT, attempts = 2)
        val first = world.submit(request)
        val second = world.end(request, AttemptEnd.Failed(ServerFailure.BROKEN))
        expectThat(second).isNotNull().isNotEqualTo(first)
        expectThat(world.end(request, AttemptEnd.Failed(ServerFailure.BROKEN))).isNull()
    }

    @Test
    fun `given a stream that can't be resumed, when it breaks, then it is not begun anew elsewhere`() {
        world.engines(3)
        val request = world.request(isResumable = false)
        world.submit(request)
        expectThat(world.end(request, AttemptEnd.Failed(ServerFailure.BROKEN))).isNull()
    }

    @Test
    fun `given a route that may run once but says that it is resumable, when a server fails, then it is not repeated`() {
        world.engines(3)
        val request = world.request(kind = RouteKind.AT_MOST_ONCE, isResumable = true)
        world.submit(request)
        expectThat(world.end(request, AttemptEnd.Failed(ServerFailure.ERROR))).isNull()
    }

    @Test
    fun `given a resumable stream that broke before an event that could be named, then it is not joined from two runs`() {
        world.engines(3)
        val request = world.request(isResumable = true)
        world.submit(request)
        expectThat(world.end(request, AttemptEnd.Failed(ServerFailure.BROKEN, canResume = false))).isNull()
    }

    @Test
    fun `given a request whose time is over before it is dispatched, then no server runs it for nobody`() {
        world.engines(2)
        val request = world.request(patience = 1.seconds)
        world.now += 1.seconds
        expectThat(world.handle(DispatchEvent.RequestSubmitted(request)).refusal()) {
            get { kind }.isEqualTo(ErrorKind.WAIT_EXCEEDED)
            get { executed }.isEqualTo(Executed.NO)
        }
    }

    @Test
    fun `given a zone that is taken out, when requests come, then its servers get none`() {
        world.servers(server("one", zone = "a"), server("two", zone = "b"))
        world.handle(DispatchEvent.ExcludedZonesChanged(setOf("a")))
        repeat(20) { expectThat(world.submit(world.request())).isEqualTo("two") }
    }

    @Test
    fun `given a server that went dark under its requests, when nothing comes from it for a while, then others get the next ones`() {
        world.engines(2)
        val dark = checkNotNull(world.submit(world.request()))
        repeat(20) {
            val request = world.request()
            val server = world.submit(request)
            if (server != dark) world.end(request, AttemptEnd.Answered)
            if (it > 9) expectThat(server).isNotEqualTo(dark)
            world.now += 100.milliseconds
        }
    }

    @Test
    fun `given a busy server that answers others, when one request waits long, then the server is not taken for dead`() {
        world.servers(server("one"))
        val waiting = world.request()
        world.submit(waiting)
        repeat(20) {
            val request = world.request()
            expectThat(world.submit(request)).isEqualTo("one")
            world.handle(DispatchEvent.FirstByteReceived(request.key))
            world.now += 100.milliseconds
        }
    }

    @Test
    fun `given a safe request with a second attempt, when it hears nothing, then it has time for another server`() {
        world.engines(2)
        val effects = world.handle(DispatchEvent.RequestSubmitted(world.request(RouteKind.IDEMPOTENT, attempts = 2, patience = 2.seconds)))
        val patience = (effects.single() as DispatchEffect.Send).patience
        expectThat(checkNotNull(patience)).isLessThanOrEqualTo(1.seconds)
    }

    @Test
    fun `given servers that all fail, when requests come, then repeats stay within the bound of the service`() {
        val bounded = DispatcherFixture(repeats = ServiceRetryLimit(ratio = 0.2, extra = 14.0, window = 10.seconds))
        bounded.handle(DispatchEvent.NodesChanged((1..7).map { "vm-$it" }.toSet()))
        bounded.engines(6)
        var repeats = 0
        repeat(100) {
            val request = bounded.request(RouteKind.IDEMPOTENT)
            bounded.submit(request)
            if (bounded.end(request, AttemptEnd.Failed(ServerFailure.ERROR)) != null) repeats++
            bounded.now += 100.milliseconds
        }
        // One of seven VMs: its part of the constant and a fifth of its own requests.
        expectThat(repeats).isLessThanOrEqualTo(20 + 2)
    }

    @Test
    fun `given a request that crashed servers, when equal ones come again, then they are refused and others are served`() {
        world.engines(6)
        listOf("b" to "engine-1", "c" to "engine-2").forEach { (zone, server) ->
            world.handle(DispatchEvent.CrashReportReceived(server, zone, setOf("poison")))
            world.now += 10.seconds
        }
        expectThat(
            world.handle(DispatchEvent.RequestSubmitted(world.request(digest = "poison"))).refusal().kind,
        ).isEqualTo(ErrorKind.REQUEST_QUARANTINED)
        expectThat(world.submit(world.request(digest = "harmless"))).isNotNull()
    }

    @Test
    fun `given attempts that broke off on a server, when its process proves gone, then the other VMs learn of their requests`() {
        world.servers(server("one"))
        val request = world.request(RouteKind.AT_MOST_ONCE, digest = "poison")
        world.submit(request)
        expectThat(
            world.handle(DispatchEvent.AttemptEnded(request.key, AttemptEnd.Failed(ServerFailure.BROKEN))).crashes(),
        ).isEqualTo(emptyList())
        world.now += 1.seconds
        val restarted = world.handle(DispatchEvent.ServersChanged(listOf(KnownServer(server("one", incarnation = 2), world.now))))
        expectThat(restarted.crashes().single().digests).isEqualTo(setOf("poison"))
    }

    @Test
    fun `given an attempt that broke off on a server that serves on, then its request is not suspected`() {
        world.servers(server("one"))
        val request = world.request(RouteKind.AT_MOST_ONCE, digest = "harmless")
        world.submit(request)
        world.end(request, AttemptEnd.Failed(ServerFailure.BROKEN))
        world.now += 20.seconds
        val later = world.request(RouteKind.AT_MOST_ONCE, digest = "other")
        world.submit(later)
        expectThat(
            world.handle(DispatchEvent.AttemptEnded(later.key, AttemptEnd.NotRun(ServerFailure.UNREACHABLE))).crashes(),
        ).isEqualTo(emptyList())
    }

    @Test
    fun `given a caller that has gone, when its attempt ends, then nothing is sent for it`() {
        world.engines(3)
        val request = world.request(RouteKind.IDEMPOTENT)
        world.submit(request)
        world.handle(DispatchEvent.CallerDisconnected(request.key))
        expectThat(world.handle(DispatchEvent.AttemptEnded(request.key, AttemptEnd.Failed(ServerFailure.BROKEN)))).isEqualTo(emptyList())
        expectThat(world.dispatcher.openRequests).isEqualTo(0)
    }

    @Test
    fun `given a server that came back under its id, when its health was bad before, then it starts anew`() {
        world.servers(server("one"), server("two"))
        repeat(4) {
            val request = world.request(RouteKind.AT_MOST_ONCE)
            world.submit(request)
            world.end(request, AttemptEnd.Failed(ServerFailure.BROKEN))
        }
        world.servers(server("one", incarnation = 2))
        expectThat(world.submit(world.request())).isEqualTo("one")
    }
}

private fun List<DispatchEffect>.crashes() = filterIsInstance<DispatchEffect.ReportCrash>()
