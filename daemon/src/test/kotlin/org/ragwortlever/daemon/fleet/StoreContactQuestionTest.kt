package org.ragwortlever.daemon.fleet

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.ragwortlever.core.fleet.NodeRecord
import org.ragwortlever.core.store.StoreGap
import org.ragwortlever.http.HttpLimits
import org.ragwortlever.http.HttpListener
import org.ragwortlever.http.UndertowListeners
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Guards against a VM that takes its own fault for an outage of the store although other VMs were served meanwhile. */
class StoreContactQuestionTest {
    private val start = Instant.fromEpochSeconds(1000)

    @Volatile
    private var now = start
    private val others = List(4) { StoreGapTracker({ now }) }
    private val listeners =
        others.map { tracker ->
            val endpoint = peerEndpoint(StoreContactQuestion.ROUTE) { tracker.report() }
            UndertowListeners(listOf(HttpListener("127.0.0.1", 0, peerHandler(listOf(endpoint)))), HttpLimits())
        }
    private val nodes =
        listeners.mapIndexed { index, listener ->
            NodeRecord("vm-$index", 1, "10.0.0.1:80", "a", "r", 1.0, "127.0.0.1:${listener.start().port()}")
        }
    private val question = StoreContactQuestion("vm-9", PeerClient(), { nodes }) { now }
    private val gap = StoreGap(start + 5.seconds, start + 7.seconds)

    @AfterEach
    fun close() = listeners.forEach { it.stop() }

    private fun StoreGapTracker.answer(at: Duration) {
        now = start + at
        recordAnswer(Duration.ZERO)
    }

    @Test
    fun `given one VM among others that was served in the gap, when it is asked, then the store had no outage`() {
        others.drop(1).forEach { it.recordFailure() }
        others[0].answer(4.seconds)
        others[0].answer(8.seconds)
        // Three of the four are asked at a time, others the next time.
        expectThat((1..5).any { question.wasServed(gap) }).isEqualTo(true)
    }

    @Test
    fun `given VMs that all lost the store, when they are asked after its return, then it may have had an outage`() {
        others.forEach {
            it.answer(4.seconds)
            it.recordFailure()
            it.answer(8.seconds)
        }
        expectThat((1..5).any { question.wasServed(gap) }).isEqualTo(false)
    }

    @Test
    fun `given VMs that do not answer, when they are asked, then the store may have had an outage`() {
        val unreachable = StoreContactQuestion("vm-9", PeerClient(), { nodes.map { it.copy(peers = "127.0.0.1:1") } }) { now }
        expectThat(unreachable.wasServed(gap)).isEqualTo(false)
    }
}
