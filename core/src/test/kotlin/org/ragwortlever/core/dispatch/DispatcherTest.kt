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
    fun `given no backend server, when a request comes, then it is refused at once as not run and with a retry time`() {
        val refusal = fixture.handle(DispatchEvent.RequestSubmitted(fixture.request())).refusal()
        expectThat(refusal) {
            get { kind }.isEqualTo(ErrorKind.NO_BACKEND_SERVER)
            get { executed }.isEqualTo(Executed.NO)
            get { retryAfterSeconds }.isNotNull()
        }
    }

    @Test
    fun `given an at-most-once request, when its attempt may have run, then it is not retried and its outcome is unknown`() {
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
    fun `given an at-most-once request, when a server proves that it did not run, then it is sent to another server`() {
        fixture.engines(3)
        val request = fixture.request(RouteKind.AT_MOST_ONCE, attempts = 1)
        val first = fixture.submit(request)
        val second = fixture.end(request, AttemptEnd.NotRun(ServerFailure.BUSY))
        expectThat(second).isNotNull().isNotEqualTo(first)
    }

    @Test
    fun `given a limit of two attempts, when both may have run, then no third server gets the request`() {
        fixture.engines(5)
        val request = fixture.request(RouteKind.IDEMPOTENT, attempts = 2)
        val first = fixture.submit(request)
        val second = fixture.end(request, AttemptEnd.Failed(ServerFailure.BROKEN))
        expectThat(second).isNotNull().isNotEqualTo(first)
        expectThat(fixture.end(request, AttemptEnd.Failed(ServerFailure.BROKEN))).isNull()
    }

    @Test
    fun `given a stream that can't be resumed, when it breaks off, then it is not restarted on another server`() {
        fixture.engines(3)
        val request = fixture.request(isResumable = false)
        fixture.submit(request)
        expectThat(fixture.end(request, AttemptEnd.Failed(ServerFailure.BROKEN))).isNull()
    }

    @Test
    fun `given an at-most-once route that is marked resumable, when a server fails, then the request is not retried`() {
        fixture.engines(3)
        val request = fixture.request(kind = RouteKind.AT_MOST_ONCE, isResumable = true)
        fixture.submit(request)
        expectThat(fixture.end(request, AttemptEnd.Failed(ServerFailure.ERROR))).isNull()
    }

    @Test
    fun `given a resumable stream that broke off before an event to resume from, then it is not continued by a second run`() {
        fixture.engines(3)
        val request = fixture.request(isResumable = true)
        fixture.submit(request)
        expectThat(fixture.end(request, AttemptEnd.Failed(ServerFailure.BROKEN, canResume = false))).isNull()
    }

    @Test
    fun `given a request whose deadline has passed, when it is dispatched, then it is refused as not run`() {
        fixture.engines(2)
        val request = fixture.request(timeout = 1.seconds)
        fixture.now += 1.seconds
        expectThat(fixture.handle(DispatchEvent.RequestSubmitted(request)).refusal()) {
            get { kind }.isEqualTo(ErrorKind.WAIT_EXCEEDED)
            get { executed }.isEqualTo(Executed.NO)
        }
    }

    @Test
    fun `given a zone that is taken out, when requests come, then none is sent to its servers`() {
        fixture.servers(server("one", zone = "a"), server("two", zone = "b"))
        fixture.handle(DispatchEvent.TakenOutZonesChanged(setOf("a")))
        repeat(20) { expectThat(fixture.submit(fixture.request())).isEqualTo("two") }
    }

    @Test
    fun `given a server that stopped responding to its requests, when it stays silent, then others get the next requests`() {
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
    fun `given a busy server that answers others, when one request waits long, then the server is not treated as silent`() {
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
    fun `given an idempotent request with two attempts, when it is sent, then its timeout leaves time for another server`() {
        fixture.engines(2)
        val effects = fixture.handle(
            DispatchEvent.RequestSubmitted(fixture.request(RouteKind.IDEMPOTENT, attempts = 2, timeout = 2.seconds)),
        )
        val timeout = (effects.single() as DispatchEffect.Send).firstByteTimeout
        expectThat(checkNotNull(timeout)).isLessThanOrEqualTo(1.seconds)
    }

    @Test
    fun `given servers that all fail, when requests come, then retries stay within the retry limit of the service`() {
        val bounded = DispatcherFixture(retryLimit = ServiceRetryLimit(ratio = 0.2, extra = 14.0, window = 10.seconds))
        bounded.handle(DispatchEvent.NodesChanged((1..7).map { "vm-$it" }.toSet()))
        bounded.engines(6)
        var retries = 0
        repeat(100) {
            val request = bounded.request(RouteKind.IDEMPOTENT)
            bounded.submit(request)
            if (bounded.end(request, AttemptEnd.Failed(ServerFailure.ERROR)) != null) retries++
            bounded.now += 100.milliseconds
        }
        // One of seven VMs: its share of the constant, 14 / 7, and a fifth of its own 100 requests.
        expectThat(retries).isLessThanOrEqualTo(20 + 2)
    }

    @Test
    fun `given a request that crashed servers, when an equal one comes, then it is refused and others are sent`() {
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

    // Guards against a request that is refused for one crash, because reports of it come from several VMs and listings.
    @Test
    fun `given one crash, when it is reported again later, then it counts once`() {
        fixture.engines(6)
        repeat(3) {
            fixture.handle(DispatchEvent.CrashReportReceived("engine-1@1", "b", setOf("harmless")))
            fixture.now += 10.seconds
        }
        expectThat(fixture.submit(fixture.request(digest = "harmless"))).isNotNull()
    }

    @Test
    fun `given an attempt that broke off, when its server is found restarted, then its digest is reported to the other VMs`() {
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
    fun `given an attempt that broke off on a server that keeps running, then its request is not reported as a crash`() {
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
    fun `given a caller that has disconnected, when its attempt fails, then it is not retried`() {
        fixture.engines(3)
        val request = fixture.request(RouteKind.IDEMPOTENT)
        fixture.submit(request)
        fixture.handle(DispatchEvent.CallerDisconnected(request.key))
        expectThat(fixture.handle(DispatchEvent.AttemptEnded(request.key, AttemptEnd.Failed(ServerFailure.BROKEN)))).isEqualTo(emptyList())
        expectThat(fixture.dispatcher.openRequests).isEqualTo(0)
    }

    @Test
    fun `given a server with poor health, when it restarts under the same id, then its health is reset`() {
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
