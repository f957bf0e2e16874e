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
    private val fixture = DispatcherFixture()

    @Test
    fun `given no backend server, when a request comes, then it is refused at once as not run and with a time to come back`() {
        val refusal = fixture.handle(DispatchEvent.RequestSubmitted(fixture.request())).refusal()
        expectThat(refusal) {
            get { kind }.isEqualTo(ErrorKind.NO_BACKEND_SERVER)
            get { executed }.isEqualTo(Executed.NO)
            get { retryAfterSeconds }.isNotNull()
        }
    }

    @Test
    fun `given a request that may run once, when its attempt may have run, then it is never sent again nor called not run`() {
        fixture.engines(3)
        val request = fixture.request(RouteKind.AT_MOST_ONCE)
        fixture.submit(request)
        val effects = fixture.handle(DispatchEvent.AttemptEnded(request.key, AttemptEnd.Failed(ServerFailure.BROKEN)))
        expectThat(fixture.sentTo(effects)).isNull()
        expectThat(effects.refusal()) {
            get { executed }.isEqualTo(Executed.UNKNOWN)
            get { kind }.isEqualTo(ErrorKind.BACKEND_SERVER_FAILED)
        }
    }

    @Test
    fun `given a request that may run once, when a server proves that it did not run, then another server gets it`() {
        fixture.engines(3)
        val request = fixture.request(RouteKind.AT_MOST_ONCE, attempts = 1)
        val first = fixture.submit(request)
        val second = fixture.end(request, AttemptEnd.NotRun(ServerFailure.BUSY))
        expectThat(second).isNotNull().isNotEqualTo(first)
    }

    @Test
    fun `given two attempts, when both may have run, then a third server is not asked`() {
        fixture.engines(5)
        val request = fixture.request(RouteKind.IDEMPOTENT, attempts = 2)
        val first = fixture.submit(request)
        val second = fixture.end(request, AttemptEnd.Failed(ServerFailure.BROKEN))
        expectThat(second).isNotNull().isNotEqualTo(first)
        expectThat(fixture.end(request, AttemptEnd.Failed(ServerFailure.BROKEN))).isNull()
    }

    @Test
    fun `given a stream that can't be resumed, when it breaks, then it is not begun anew elsewhere`() {
        fixture.engines(3)
        val request = fixture.request(isResumable = false)
        fixture.submit(request)
        expectThat(fixture.end(request, AttemptEnd.Failed(ServerFailure.BROKEN))).isNull()
    }

    @Test
    fun `given a route that may run once but says that it is resumable, when a server fails, then it is not repeated`() {
        fixture.engines(3)
        val request = fixture.request(kind = RouteKind.AT_MOST_ONCE, isResumable = true)
        fixture.submit(request)
        expectThat(fixture.end(request, AttemptEnd.Failed(ServerFailure.ERROR))).isNull()
    }

    @Test
    fun `given a resumable stream that broke before an event that could be named, then it is not joined from two runs`() {
        fixture.engines(3)
        val request = fixture.request(isResumable = true)
        fixture.submit(request)
        expectThat(fixture.end(request, AttemptEnd.Failed(ServerFailure.BROKEN, canResume = false))).isNull()
    }

    @Test
    fun `given a request whose time is over before it is dispatched, then no server runs it for nobody`() {
        fixture.engines(2)
        val request = fixture.request(patience = 1.seconds)
        fixture.now += 1.seconds
        expectThat(fixture.handle(DispatchEvent.RequestSubmitted(request)).refusal()) {
            get { kind }.isEqualTo(ErrorKind.WAIT_EXCEEDED)
            get { executed }.isEqualTo(Executed.NO)
        }
    }

    @Test
    fun `given a zone that is taken out, when requests come, then its servers get none`() {
        fixture.servers(server("one", zone = "a"), server("two", zone = "b"))
        fixture.handle(DispatchEvent.TakenOutZonesChanged(setOf("a")))
        repeat(20) { expectThat(fixture.submit(fixture.request())).isEqualTo("two") }
    }

    @Test
    fun `given a server that went dark under its requests, when nothing comes from it for a while, then others get the next ones`() {
        fixture.engines(2)
        val dark = checkNotNull(fixture.submit(fixture.request()))
        repeat(20) {
            val request = fixture.request()
            val server = fixture.submit(request)
            if (server != dark) fixture.end(request, AttemptEnd.Answered)
            if (it > 9) expectThat(server).isNotEqualTo(dark)
            fixture.now += 100.milliseconds
        }
    }

    @Test
    fun `given a busy server that answers others, when one request waits long, then the server is not taken for dead`() {
        fixture.servers(server("one"))
        val waiting = fixture.request()
        fixture.submit(waiting)
        repeat(20) {
            val request = fixture.request()
            expectThat(fixture.submit(request)).isEqualTo("one")
            fixture.handle(DispatchEvent.FirstByteReceived(request.key))
            fixture.now += 100.milliseconds
        }
    }

    @Test
    fun `given a safe request with a second attempt, when it hears nothing, then it has time for another server`() {
        fixture.engines(2)
        val effects = fixture.handle(DispatchEvent.RequestSubmitted(fixture.request(RouteKind.IDEMPOTENT, attempts = 2, patience = 2.seconds)))
        val timeout = (effects.single() as DispatchEffect.Send).firstByteTimeout
        expectThat(checkNotNull(timeout)).isLessThanOrEqualTo(1.seconds)
    }

    @Test
    fun `given servers that all fail, when requests come, then repeats stay within the bound of the service`() {
        val bounded = DispatcherFixture(retryLimit = ServiceRetryLimit(ratio = 0.2, extra = 14.0, window = 10.seconds))
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
        fixture.engines(6)
        listOf("b" to "engine-1", "c" to "engine-2").forEach { (zone, server) ->
            fixture.handle(DispatchEvent.CrashReportReceived(server, zone, setOf("poison")))
            fixture.now += 10.seconds
        }
        expectThat(
            fixture.handle(DispatchEvent.RequestSubmitted(fixture.request(digest = "poison"))).refusal().kind,
        ).isEqualTo(ErrorKind.REQUEST_QUARANTINED)
        expectThat(fixture.submit(fixture.request(digest = "harmless"))).isNotNull()
    }

    @Test
    fun `given attempts that broke off on a server, when its process proves gone, then the other VMs learn of their requests`() {
        fixture.servers(server("one"))
        val request = fixture.request(RouteKind.AT_MOST_ONCE, digest = "poison")
        fixture.submit(request)
        expectThat(
            fixture.handle(DispatchEvent.AttemptEnded(request.key, AttemptEnd.Failed(ServerFailure.BROKEN))).crashes(),
        ).isEqualTo(emptyList())
        fixture.now += 1.seconds
        val restarted = fixture.handle(DispatchEvent.ServersChanged(listOf(KnownServer(server("one", incarnation = 2), fixture.now))))
        expectThat(restarted.crashes().single().digests).isEqualTo(setOf("poison"))
    }

    @Test
    fun `given an attempt that broke off on a server that serves on, then its request is not suspected`() {
        fixture.servers(server("one"))
        val request = fixture.request(RouteKind.AT_MOST_ONCE, digest = "harmless")
        fixture.submit(request)
        fixture.end(request, AttemptEnd.Failed(ServerFailure.BROKEN))
        fixture.now += 20.seconds
        val later = fixture.request(RouteKind.AT_MOST_ONCE, digest = "other")
        fixture.submit(later)
        expectThat(
            fixture.handle(DispatchEvent.AttemptEnded(later.key, AttemptEnd.NotRun(ServerFailure.UNREACHABLE))).crashes(),
        ).isEqualTo(emptyList())
    }

    @Test
    fun `given a caller that has gone, when its attempt ends, then nothing is sent for it`() {
        fixture.engines(3)
        val request = fixture.request(RouteKind.IDEMPOTENT)
        fixture.submit(request)
        fixture.handle(DispatchEvent.CallerDisconnected(request.key))
        expectThat(fixture.handle(DispatchEvent.AttemptEnded(request.key, AttemptEnd.Failed(ServerFailure.BROKEN)))).isEqualTo(emptyList())
        expectThat(fixture.dispatcher.openRequests).isEqualTo(0)
    }

    @Test
    fun `given a server that came back under its id, when its health was bad before, then it starts anew`() {
        fixture.servers(server("one"), server("two"))
        repeat(4) {
            val request = fixture.request(RouteKind.AT_MOST_ONCE)
            fixture.submit(request)
            fixture.end(request, AttemptEnd.Failed(ServerFailure.BROKEN))
        }
        fixture.servers(server("one", incarnation = 2))
        expectThat(fixture.submit(fixture.request())).isEqualTo("one")
    }
}

private fun List<DispatchEffect>.crashes() = filterIsInstance<DispatchEffect.ReportCrash>()
