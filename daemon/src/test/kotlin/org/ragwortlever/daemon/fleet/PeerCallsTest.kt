package org.ragwortlever.daemon.fleet

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.ragwortlever.core.dispatch.PoolAnswer
import org.ragwortlever.core.dispatch.PoolQuestion
import org.ragwortlever.core.dispatch.PoolReply
import org.ragwortlever.core.dispatch.PoolReport
import org.ragwortlever.core.dispatch.PromptPart
import org.ragwortlever.core.dispatch.QuarantinedPart
import org.ragwortlever.core.dispatch.ReportedAttempt
import org.ragwortlever.core.dispatch.ReportedBreak
import org.ragwortlever.core.dispatch.ReportedEnd
import org.ragwortlever.core.dispatch.trackedIds
import org.ragwortlever.core.fleet.NodeRecord
import org.ragwortlever.http.HttpLimits
import org.ragwortlever.http.HttpListener
import org.ragwortlever.http.UndertowListeners
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a single malformed message that brings down the whole process. */
@OptIn(ExperimentalKotest::class)
class PeerCallsTest {
    private val listeners = ArrayList<UndertowListeners>()
    private val quarantined = listOf(QuarantinedPart("engines", "culprit", 1000))
    private val report =
        PoolReport(
            "vm-1",
            "engines",
            7,
            listOf(ReportedAttempt("one", 100, 200)),
            listOf(3),
            listOf(ReportedEnd("one", null, listOf("part"))),
            breaks = listOf(ReportedBreak("one@1", 20, isCrash = true, setOf("part"), setOf("part"))),
            quarantined = quarantined,
        )
    private val question =
        PoolQuestion(report, 3, "id", listOf(PromptPart("part", 100)), 10, "a", 200_000, setOf("two"), emptySet(), 1, 500, 3000)
    private val endpoint = peerHandler(listOf(peerEndpoint(PoolDeciderClient.QUESTION_ROUTE) { PoolReply(PoolAnswer.NoServer) }))

    @AfterEach
    fun close() = listeners.forEach { it.stop() }

    @Test
    fun `given random bytes as a request, when it is handled, then it is refused and the next one is served`() =
        runBlocking<Unit> {
            checkAll(PropTestConfig(seed = SEED, iterations = 2000), Arb.byteArray(Arb.int(0..200), Arb.byte())) { bytes ->
                val answer = endpoint(Request(Method.POST, PoolDeciderClient.QUESTION_ROUTE.path).body(bytes.inputStream()))
                expectThat(answer.status).isEqualTo(Status.BAD_REQUEST)
            }
            expectThat(ask(endpoint).get()).isEqualTo(PoolReply(PoolAnswer.NoServer))
        }

    @Test
    fun `given a quarantined part, when a VM is asked or told, then the message arrives whole`() {
        val reply = PoolReply(PoolAnswer.Quarantined, quarantined = quarantined)
        var received: PoolQuestion? = null
        val asked = peerHandler(
            listOf(
                peerEndpoint(PoolDeciderClient.QUESTION_ROUTE) { asking ->
                    received = asking
                    reply
                },
            ),
        )
        expectThat(ask(asked).get()).isEqualTo(reply)
        expectThat(received).isEqualTo(question)
    }

    // Guards against a caller whose prompt parts make the reports of its VM too large to be taken.
    @Test
    fun `given excessive prompt parts, when all that a report repeats has them, then the message is taken`() {
        val parts = List(5_000) { PromptPart("$it".padStart(64, '0'), 1) }.trackedIds()
        val largest =
            report.copy(
                ends = List(32) { ReportedEnd("server-$it", null, parts) },
                breaks = List(16) { ReportedBreak("server-$it@1700000000000", 20, isCrash = true, parts.toSet(), parts.toSet()) },
            )
        expectThat(ask(endpoint, question.copy(report = largest)).get()).isEqualTo(PoolReply(PoolAnswer.NoServer))
        expectThat(listOf(PromptPart("a".repeat(65), 1), PromptPart("b", 2)).trackedIds()).isEqualTo(listOf("b"))
    }

    @Test
    fun `given a request with an excessive declared length, when it is handled, then it is refused without allocation`() {
        // Maps with a text and with a byte string of two thousand million bytes, and arrays of two thousand million elements.
        listOf("bf7a7fffffff", "bf5a7fffffff", "9a7fffffff", "bf667265706f72749a7fffffff").forEach { hex ->
            val bytes = hex.chunked(2).map { it.toInt(16).toByte() }.toByteArray()
            val answer = endpoint(Request(Method.POST, PoolDeciderClient.QUESTION_ROUTE.path).body(bytes.inputStream()))
            expectThat(answer.status).isEqualTo(Status.BAD_REQUEST)
        }
    }

    @Test
    fun `given a malformed response, when a peer is called, then the call returns an error`() {
        listOf("", "\u0000", "\u00bf\u007a\u007f\u00ff\u00ff\u00ff", "no cbor").forEach { text ->
            val garbled: HttpHandler = { Response(Status.OK).body(text.byteInputStream(Charsets.ISO_8859_1)) }
            expectThat(ask(garbled).getError()).isNotNull()
        }
    }

    @Test
    fun `given a VM that does not respond, when it is called, then the call ends at its timeout`() {
        val silent: HttpHandler = { Response(Status.OK).also { Thread.sleep(2000) } }
        val began = System.nanoTime()
        expectThat(ask(silent, timeout = 30.milliseconds).getError()).isNotNull()
        // Well below the two seconds that the response takes; not a performance bound.
        expectThat(System.nanoTime() - began < 1_500_000_000).isEqualTo(true)
    }

    @Test
    fun `given an unavailable VM, when it is called, then the call returns an error with the status`() {
        val handler = peerHandler(listOf(peerEndpoint(PoolDeciderClient.QUESTION_ROUTE) { null }))
        expectThat(ask(handler).getError()).isEqualTo("status 503")
    }

    private fun ask(
        handler: HttpHandler,
        asked: PoolQuestion = question,
        timeout: kotlin.time.Duration = 5.seconds,
    ) = PeerClient().call(node(handler), PoolDeciderClient.QUESTION_ROUTE, asked, timeout)

    private fun node(handler: HttpHandler): NodeRecord {
        val server = UndertowListeners(listOf(HttpListener("127.0.0.1", 0, handler)), HttpLimits(workerThreads = 2)).apply { start() }
        listeners += server
        return NodeRecord("vm-2", 1, "", "a", "r", peers = "127.0.0.1:${server.port()}")
    }

    private companion object {
        const val SEED = 20261204L
    }
}
