package org.ragwortlever.core.dispatch

import org.junit.jupiter.api.Test
import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.backend.KnownServer
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class CachedPrefixWaitTest {
    private val now = Instant.fromEpochMilliseconds(0)
    private val warm = server("warm")
    private val cold = server("cold")
    private val prefix = listOf(PromptPart("common", 2500), PromptPart("subject", 3800))
    private val demand = ServerDemand("request", prefix + PromptPart("own", 2900), 50)

    private fun server(id: String) =
        ServerState(KnownServer(BackendServer(id, 1, "engines", "$id:1", "a", 48, false, Duration.ZERO, false, 1), Instant.DISTANT_PAST))

    private fun rank(engineTokens: Int = 266_000) =
        scoreServers(demand, listOf(warm, cold), ScoreContext("a", nodes = 66, isShared = true, engineTokens = engineTokens), now)

    private fun wait(
        waited: Duration,
        timeToTarget: Duration,
    ): Boolean {
        val (best, other) = rank()
        expectThat(best.server.id).isEqualTo("warm")
        return isWorthSending(other, best, waited, timeToTarget)
    }

    private fun loadWarm(unreadTokens: Int) {
        warm.recordSent(prefix, 266_000, now)
        warm.remoteLoads["vm"] = RemoteLoad(listOf(ReportedAttempt("warm", unreadTokens, unreadTokens)), now)
    }

    @Test
    fun `given a warm server with a short queue, when a cold one is free, then the request waits for as long as it saves`() {
        loadWarm(unreadTokens = 15_000)
        expectThat(wait(Duration.ZERO, 2.seconds)).isFalse()
        expectThat(wait(300.milliseconds, 2.seconds)).isFalse()
        expectThat(wait(2.seconds, 5.seconds)).isTrue()
    }

    @Test
    fun `given a short target, when waiting would use up half of it, then the request goes to the cold server`() {
        loadWarm(unreadTokens = 15_000)
        expectThat(wait(50.milliseconds, 600.milliseconds)).isFalse()
        expectThat(wait(200.milliseconds, 400.milliseconds)).isTrue()
        expectThat(wait(Duration.ZERO, (-100).milliseconds)).isTrue()
    }

    @Test
    fun `given a hot prefix under rising load, when the queue at its server outgrows what is saved, then another server reads it too`() {
        loadWarm(unreadTokens = 10_000)
        expectThat(rank().first().server.id).isEqualTo("warm")
        loadWarm(unreadTokens = 90_000)
        expectThat(rank().first().server.id).isEqualTo("cold")
    }

    @Test
    fun `given a memory-bound engine, when other prompts have pushed the prefix out, then it is not believed to be warm`() {
        warm.recordSent(prefix, 20_000, now)
        expectThat(warm.uncachedTokens(demand.parts, now)).isEqualTo(2900)
        repeat(3) { warm.recordSent(listOf(PromptPart("other-$it", 6000)), 20_000, now) }
        expectThat(warm.uncachedTokens(demand.parts, now)).isEqualTo(9200)
    }

    @Test
    fun `given a server that has restarted, then nothing of before is believed to be cached`() {
        warm.recordSent(prefix, 266_000, now)
        val pool = ServerPool(DispatchOptions("vm", "a"))
        pool.replace(listOf(warm.known))
        pool.find("warm")?.recordSent(prefix, 266_000, now)
        pool.replace(listOf(warm.known.copy(server = warm.known.server.copy(incarnation = 2))))
        expectThat(pool.find("warm")?.uncachedTokens(demand.parts, now)).isEqualTo(9200)
    }
}
