package org.ragwortlever.daemon.gateway.fuzz

import io.kotest.common.ExperimentalKotest
import io.kotest.property.PropTestConfig
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.ragwortlever.daemon.gateway.ReceivedRequest
import org.ragwortlever.daemon.gateway.RoutedRequestFixture
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.net.Socket

@OptIn(ExperimentalKotest::class)
class AnswerFuzzTest {
    private val seed = System.getProperty("fuzzSeed")?.toLong() ?: 20_261_208L
    private val cases = System.getProperty("fuzzCases")?.toInt() ?: 1500
    private val seen = HashMap<String, Int>()

    // Guards against answers that are framed as complete and are not (ORDER, MIXED), against "not run" for requests that ran
    // (REFUSED) and against second runs (TWICE), whatever bytes a server sends and wherever it stops.
    @Test
    fun `given servers that spoil their answers, when a caller gets a complete answer or a refusal, then it is true`() {
        println("seed $seed, $cases cases")
        runBlocking<Unit> { checkAll(PropTestConfig(seed = seed, iterations = cases), answerCases()) { play(it) } }
        seen.toSortedMap().forEach { (what, count) -> println("$what $count") }
        expectThat(seen.keys).contains(Mutation.entries.map { "mutation $it" })
        expectThat(seen.keys).contains(NextServer.entries.map { "next $it" })
        expectThat(seen.keys).contains(listOf("caller COMPLETE", "caller BROKEN", "caller NOT_RUN", "caller UNKNOWN"))
    }

    private fun play(case: AnswerCase) {
        val servers = CaseServers(case)
        RoutedRequestFixture().use { fixture ->
            fixture.startServers(
                *Array(2) { number ->
                    {
                        request: ReceivedRequest,
                        socket,
                        ->
                        servers.answer("server-$number", request, socket)
                    }
                },
            )
            if (case.isKept) {
                repeat(2) {
                    fixture.post("/once/$it", headers = mapOf("X-Request-Id" to "id-$it")).use { answer ->
                        answer.body.string()
                    }
                }
            }
            Socket("127.0.0.1", fixture.port).use { socket ->
                socket.soTimeout = TIMEOUT_MILLISECONDS
                val reader = StrictResponseReader(socket.getInputStream(), case.caller.version)
                val result = socket.exchange(reader, case, CaseServers.CASE_ID)
                judge(case, servers, result)
                if (result is CallerResult.Complete && case.caller == CallerMode.KEEP_ALIVE) expectOwnAnswer(socket, reader, case)
            }
        }
    }

    private fun judge(
        case: AnswerCase,
        servers: CaseServers,
        result: CallerResult,
    ) {
        val runs = servers.runsOf(CaseServers.CASE_ID)
        if (!case.route.mayRepeat) expectThat(runs).describedAs("runs in $case").isLessThanOrEqualTo(1)
        count("mutation ${case.mutation}")
        if (servers.attemptCount > 1) count("next ${case.next}")
        when (result) {
            is CallerResult.Broken -> count("caller BROKEN")
            is CallerResult.Complete -> judgeComplete(case, servers, result, runs)
        }
    }

    private fun judgeComplete(
        case: AnswerCase,
        servers: CaseServers,
        result: CallerResult.Complete,
        runs: Int,
    ) {
        when {
            result.status == OK_STATUS -> {
                count("caller COMPLETE")
                expectThat(servers.completeBodies).describedAs("complete bodies in $case").contains(result.body)
            }
            result.status in NOT_RUN_STATUSES || "\"executed\":\"no\"" in result.body -> {
                count("caller NOT_RUN")
                expectThat(runs).describedAs("runs of a request that is said not to have run, in $case").isEqualTo(0)
            }
            else -> {
                count("caller UNKNOWN")
            }
        }
    }

    /** Sends another request on the caller's connection: it gets its own answer or a refusal, and nothing is left over. */
    private fun expectOwnAnswer(
        socket: Socket,
        reader: StrictResponseReader,
        case: AnswerCase,
    ) {
        val next = socket.exchange(reader, case.copy(route = CaseRoute.ONCE), "id-after")
        if (next is CallerResult.Complete && next.status == OK_STATUS) {
            expectThat(next.body).describedAs("answer to the next request after $case").isEqualTo("sound")
        }
        expectThat(socket.getInputStream().available()).describedAs("bytes left over after $case").isEqualTo(0)
    }

    private fun Socket.exchange(
        reader: StrictResponseReader,
        case: AnswerCase,
        id: String,
    ): CallerResult {
        val head = "POST ${case.route.path} ${case.caller.version}\r\nHost: host\r\nX-Request-Id: $id\r\nAuthorization: Bearer key\r\n"
        getOutputStream().write("${head}Connection: ${case.caller.connection}\r\nContent-Length: 7\r\n\r\ncontent".toByteArray())
        return reader.read()
    }

    private fun count(what: String) {
        seen.merge(what, 1, Int::plus)
    }

    private companion object {
        const val OK_STATUS = 200
        const val TIMEOUT_MILLISECONDS = 10_000
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
    }
}
