package org.ragwortlever.daemon.fleet

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.ragwortlever.core.fleet.ChangeLog
import org.ragwortlever.core.fleet.NodeRecord
import org.ragwortlever.core.fleet.RelayRequest
import org.ragwortlever.core.fleet.RelayResponse
import org.ragwortlever.core.store.StoreChange
import org.ragwortlever.core.store.StoreChanges
import org.ragwortlever.core.store.StoreFailure
import org.ragwortlever.core.store.StoreRead
import org.ragwortlever.daemon.platform.ChangeFeed
import org.ragwortlever.http.HttpLimits
import org.ragwortlever.http.HttpListener
import org.ragwortlever.http.UndertowListeners
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Guards against a VM of a small fleet that learns nothing, not even of servers that leave, while the store turns it away. */
class RelayedChangeFeedTest {
    /** Time that seems to pass. */
    @Volatile
    private var passed = Duration.ZERO
    private val log = ChangeLog().apply { reset(1, now()) }
    private val other =
        UndertowListeners(
            listOf(HttpListener("127.0.0.1", 0, peerHandler(listOf(peerEndpoint(Relay.ROUTE, ::handleSlowly))))),
            HttpLimits(),
        )
    private val nodes =
        listOf(node("vm-1", ""), node("vm-2", "127.0.0.1:${other.start().port()}"))
    private var storeAnswer: Result<StoreChanges, StoreFailure> = Err(StoreFailure.NotSent("turned away"))
    private val waits = ArrayList<Duration>()
    private val store =
        object : ChangeFeed {
            override val pause = 900.milliseconds

            override fun readPrefix(prefix: String): Result<StoreRead, StoreFailure> = error("not called")

            override fun changes(
                prefix: String,
                revision: Long,
                wait: Duration,
            ): Result<StoreChanges, StoreFailure> {
                waits += wait
                return storeAnswer
            }
        }
    private val feed = RelayedChangeFeed("vm-1", "a", store, PeerClient(), { nodes }, { emptyMap() }, ::now)
    private val removal = StoreChange.Removed("servers/one")

    @AfterEach
    fun close() {
        other.stop()
    }

    private fun now(): Instant = Clock.System.now() + passed

    private fun handleSlowly(request: RelayRequest): RelayResponse = Relay(log, ::now).handle(request).also { Thread.sleep(ANSWER_DELAY) }

    private fun node(
        name: String,
        peers: String,
    ) = NodeRecord(name, 1, "10.0.0.1:80", "a", "r", 1.0, peers)

    private fun changes(revision: Long = 1) = feed.changes("", revision, 50.milliseconds).get()

    /** Lets the store turn this VM away; the other VM has an answer of it after that. */
    private fun turnAway() {
        changes()
        passed += 500.milliseconds
        log.append(2, listOf(removal), now())
    }

    @Test
    fun `given a store that turns this VM away, when another VM is served, then its changes are read without a pause`() {
        turnAway()
        expectThat(changes()).isEqualTo(StoreChanges.Since(2, listOf(removal)))
        expectThat(feed.pause).isEqualTo(Duration.ZERO)
        expectThat(feed.isRelayed).isEqualTo(false)
        changes(2)
        expectThat(waits).containsExactly(50.milliseconds, Duration.ZERO)
    }

    @Test
    fun `given a VM that reads through another, when the store serves it again, then it reads from the store`() {
        turnAway()
        changes()
        passed += 4.seconds
        storeAnswer = Ok(StoreChanges.Since(9, emptyList()))
        expectThat(changes()).isEqualTo(StoreChanges.Since(9, emptyList()))
        expectThat(feed.pause).isEqualTo(store.pause)
    }

    // Entries expire in an outage, so a VM must not miss one because another had an answer shortly before it.
    @Test
    fun `given an outage of the store, when the other VM has had no answer since it began, then the outage is seen`() {
        log.reset(1, now())
        repeat(3) {
            expectThat(changes()).isNull()
            expectThat(feed.pause).isEqualTo(store.pause)
            passed += 300.milliseconds
        }
    }

    @Test
    fun `given another VM that lost the store after this one, when its last answer is too old, then the outage is seen`() {
        turnAway()
        passed += 3.seconds
        expectThat(changes()).isNull()
    }

    // Without its history, this VM would have to list a store that does not serve it, and lose what it knows.
    @Test
    fun `given another VM that has not kept all changes, then nothing is read from it`() {
        turnAway()
        log.reset(5, now())
        expectThat(changes()).isNull()
    }

    private companion object {
        // Makes the age of an answer that is counted from its arrival too low.
        const val ANSWER_DELAY = 20L
    }
}
