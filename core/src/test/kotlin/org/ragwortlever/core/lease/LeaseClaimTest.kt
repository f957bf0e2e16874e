package org.ragwortlever.core.lease

import org.junit.jupiter.api.Test
import org.ragwortlever.core.store.FakeStore
import org.ragwortlever.core.store.StoreAnswer
import org.ragwortlever.core.store.StoreFailure
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class LeaseClaimTest {
    private val start = Instant.fromEpochSeconds(0)
    private var now = start
    private var store = FakeStore()
    private val times = LeaseTimes()

    // Guards against a holder that trusts its lease longer than the store does.
    @Test
    fun `given a slow grant, when the lease is claimed, then the holder's view ends before the store's`() {
        val claim = claim("a").makeNextCall(delay = 1.seconds).makeNextCall(delay = 1.seconds).makeNextCall(delay = 1.seconds)
        val held = expectThat(claim.held(now)).isNotNull().subject
        expectThat(held.until).isLessThan(store.leases.getValue(held.lease).second)
        expectThat(held.until).isEqualTo(start + 1.seconds + times.duration - times.drift)
    }

    // Guards against a send that outlasts the lease, or starts while the previous holder may still send.
    @Test
    fun `given a held lease, when it is too new or too old, then no send is safe`() {
        val held = HeldLease("k", lease = 1, fencing = 2, until = start + 9.seconds, sendFrom = start + 2.seconds)
        expectThat(held.isSafeToSend(start + 1999.milliseconds, times)).isFalse()
        expectThat(held.isSafeToSend(start + 2.seconds, times)).isTrue()
        expectThat(held.isSafeToSend(start + 6499.milliseconds, times)).isTrue()
        expectThat(held.isSafeToSend(start + 6500.milliseconds, times)).isFalse()
    }

    // Guards against a role without a holder until the orphaned lease ends, after a claim whose answer was lost.
    @Test
    fun `given a claim whose answer was lost after it took effect, when the key is read, then the claim holds`() {
        val claim = claim("a").makeNextCall().makeNextCall().makeNextCall(loseAnswer = true).makeNextCall()
        expectThat(claim.held(now)).isNotNull().get { fencing }.isEqualTo(store.entries.getValue("k").createRevision)
    }

    // Guards against two holders: a paused holder must not go on after its successor took over.
    @Test
    fun `given a holder paused past its lease, when it wakes, then it holds nothing and its successor has a higher number`() {
        val paused = claim("a").makeNextCall().makeNextCall().makeNextCall()
        now += 20.seconds
        val successor = claim("b").makeNextCall().makeNextCall().makeNextCall()
        expectThat(paused.held(now)).isNull()
        expectThat(paused.makeNextCall().held(now)).isNull()
        expectThat(successor.held(now)!!.fencing).isGreaterThan((paused.stage as LeaseStage.Holding).held.fencing)
        expectThat(successor.held(now)!!.sendFrom).isEqualTo(now + times.drift + times.sendTimeout)
    }

    // Guards against a role without a holder while a former holder waits for the end of its own lease.
    @Test
    fun `given a holder whose view of its lease ended in an outage that paused leases, when the store is back, then it holds on`() {
        val before = claim("a").makeNextCall().makeNextCall().makeNextCall()
        val fencing = checkNotNull(before.held(now)).fencing
        now += times.duration
        // The store's clock stood still: its lease lives on.
        store = store.copy(leases = store.leases.mapValues { (_, lease) -> lease.first to lease.second + times.duration })
        val looking = before.handleAnswer(StoreAnswer.Failed(StoreFailure.NoAnswer("down")), now, now)
        expectThat(looking.held(now)).isNull()
        val found = looking.makeNextCall()
        expectThat(found.held(now)).isNull()
        expectThat(found.makeNextCall().held(now)).isNotNull().get { this.fencing }.isEqualTo(fencing)
    }

    // Guards against a holder that acts on through a long outage, and against one that never comes back.
    @Test
    fun `given a store down for 10 minutes, when it returns, then the lease has ended and is claimed again`() {
        var claim = claim("a").makeNextCall().makeNextCall().makeNextCall()
        val failure = StoreAnswer.Failed(StoreFailure.NoAnswer("down"))
        repeat(600) {
            now += 1.seconds
            if (claim.nextCall(now) != null) claim = claim.handleAnswer(failure, now, now)
        }
        expectThat(claim.held(now)).isNull()
        expectThat(now - start).isEqualTo(10.minutes)
        now += 1.seconds
        expectThat(claim.makeNextCall().makeNextCall().makeNextCall().held(now)).isNotNull()
    }

    // Guards against a fleet whose roles stay empty after a rack with many holders failed.
    @Test
    fun `given 20 holders lost at once, when their leases end, then each role has one new holder`() {
        val lost = (1..20).map { claim("lost", "k$it").makeNextCall().makeNextCall().makeNextCall() }
        val candidates = (1..20).flatMap { role -> listOf(claim("b", "k$role"), claim("c", "k$role")) }.toMutableList()
        repeat(15) {
            now += 1.seconds
            repeat(5) { candidates.replaceAll { if (it.nextCall(now) != null) it.makeNextCall() else it } }
        }
        val held = candidates.mapNotNull { it.held(now)?.key }
        expectThat(held.sorted()).isEqualTo((1..20).map { "k$it" }.sorted())
        expectThat(lost.all { it.held(now) == null }).isTrue()
    }

    // Guards against a second holder after a stale read that shows the key as free.
    @Test
    fun `given a stale read that shows a free key, when it is claimed, then the claim fails and its lease is given back`() {
        val holder = claim("a").makeNextCall().makeNextCall().makeNextCall()
        val misled = claim("b").handleAnswer(StoreAnswer.Found(org.ragwortlever.core.store.StoreRead(1, emptyList())), now, now)
        val refused = misled.makeNextCall().makeNextCall().makeNextCall()
        expectThat(refused.stage).isEqualTo(LeaseStage.Releasing(2))
        expectThat(refused.held(now)).isNull()
        expectThat(holder.held(now)).isNotNull()
    }

    private fun claim(
        owner: String,
        key: String = "k",
    ) = LeaseClaim(key, owner, times)

    /** Makes the next call; time passes by [delay] before it reaches the store. */
    private fun LeaseClaim.makeNextCall(
        delay: Duration = Duration.ZERO,
        loseAnswer: Boolean = false,
    ): LeaseClaim {
        val asked = now
        val call = nextCall(now) ?: return this
        now += delay
        val (after, answer) = store.call(call, now)
        store = after
        return handleAnswer(if (loseAnswer) StoreAnswer.Failed(StoreFailure.NoAnswer("lost")) else answer, asked, now)
    }
}
