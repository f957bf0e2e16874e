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

    // Guards against a holder that considers its lease valid for longer than the store does.
    @Test
    fun `given a slow grant, when the lease is claimed, then it ends earlier for the holder than in the store`() {
        val claim = claim("a").makeNextCall(delay = 1.seconds).makeNextCall(delay = 1.seconds).makeNextCall(delay = 1.seconds)
        val held = expectThat(claim.held(now)).isNotNull().subject
        expectThat(held.until).isLessThan(store.leases.getValue(held.lease).second)
        expectThat(held.until).isEqualTo(start + 1.seconds + times.duration - times.drift)
    }

    // Guards against a send that outlasts the lease, or starts while the previous holder may still send.
    @Test
    fun `given a held lease, when the previous holder may still send or the lease is about to end, then no send is safe`() {
        val held = HeldLease("k", lease = 1, fencing = 2, until = start + 9.seconds, sendFrom = start + 2.seconds)
        expectThat(held.isSafeToSend(start + 1999.milliseconds, times)).isFalse()
        expectThat(held.isSafeToSend(start + 2.seconds, times)).isTrue()
        expectThat(held.isSafeToSend(start + 6499.milliseconds, times)).isTrue()
        expectThat(held.isSafeToSend(start + 6500.milliseconds, times)).isFalse()
    }

    // Guards against a role that has no holder until the orphaned lease expires, after the answer to a claim was lost.
    @Test
    fun `given a claim whose answer was lost after it took effect, when the key is read, then the claim succeeds`() {
        val claim = claim("a").makeNextCall().makeNextCall().makeNextCall(loseAnswer = true).makeNextCall()
        expectThat(claim.held(now)).isNotNull().get { fencing }.isEqualTo(store.entries.getValue("k").createRevision)
    }

    // Guards against two holders: a paused holder must not continue after its successor has taken over.
    @Test
    fun `given a holder paused past its lease, when it resumes, then it holds nothing and its successor has a higher fencing token`() {
        val paused = claim("a").makeNextCall().makeNextCall().makeNextCall()
        now += 20.seconds
        val successor = claim("b").makeNextCall().makeNextCall().makeNextCall()
        expectThat(paused.held(now)).isNull()
        expectThat(paused.makeNextCall().held(now)).isNull()
        expectThat(successor.held(now)!!.fencing).isGreaterThan((paused.stage as LeaseStage.Holding).held.fencing)
        expectThat(successor.held(now)!!.sendFrom).isEqualTo(now + times.drift + times.sendTimeout)
    }

    // Guards against a role that has no holder while a former holder waits for its own lease to expire.
    @Test
    fun `given a lease that ended for its holder in an outage that paused leases, when the store is back, then the holder keeps it`() {
        val before = claim("a").makeNextCall().makeNextCall().makeNextCall()
        val fencing = checkNotNull(before.held(now)).fencing
        now += times.duration
        // The store's clock was stopped, so the lease is still valid there.
        store = store.copy(leases = store.leases.mapValues { (_, lease) -> lease.first to lease.second + times.duration })
        val polling = before.handleAnswer(StoreAnswer.Failed(StoreFailure.NoAnswer("down")), now, now)
        expectThat(polling.held(now)).isNull()
        val found = polling.makeNextCall()
        expectThat(found.held(now)).isNull()
        expectThat(found.makeNextCall().held(now)).isNotNull().get { this.fencing }.isEqualTo(fencing)
    }

    // Guards against a holder that keeps acting during a long outage, and against one that never recovers.
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

    // Guards against roles that stay without a holder after a rack with many holders failed.
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

    // Guards against a second holder after a stale read that showed the key as free.
    @Test
    fun `given a stale read that shows a free key, when it is claimed, then the claim fails and its lease is revoked`() {
        val holder = claim("a").makeNextCall().makeNextCall().makeNextCall()
        val misled = claim("b").handleAnswer(StoreAnswer.Found(org.ragwortlever.core.store.StoreRead(1, emptyList())), now, now)
        val refused = misled.makeNextCall().makeNextCall().makeNextCall()
        expectThat(refused.stage).isEqualTo(LeaseStage.Releasing(2))
        expectThat(refused.held(now)).isNull()
        expectThat(holder.held(now)).isNotNull()
    }

    // Guards against a role without a holder after each restore, and against a position that is given up without need.
    @Test
    fun `given a holder, when it learns of restores, then it claims at once each time and continues its last lease`() {
        claim("b").makeCalls()
        // The copy is older than the holder's lease, and the lease in it does not end soon.
        val copy = store.copy(leases = store.leases.mapValues { (_, lease) -> lease.first to lease.second + 1.minutes })
        now += times.duration
        var before = claim("a").makeCalls()
        for (restores in listOf(1, 1, 2)) {
            repeat(restores) { store = store.restored(copy) }
            val token = before.held(now)!!.fencing
            val entered = (before.epoch + 1..store.epoch).fold(before) { claim, epoch -> claim.inEpoch(epoch, now) }
            val after = entered.makeCalls()
            expectThat(after.held(now)).isNotNull().and {
                get { continues }.isEqualTo(token)
                get { fencing }.isGreaterThan(token)
                get { sendFrom }.isEqualTo(now + times.drift + times.sendTimeout)
            }
            before = after
        }
    }

    // Guards against two holders: the one before may not have learned of the restore, and its key may be gone or in the copy.
    @Test
    fun `given a restore, when another process learns of it, then it claims only when the lease before must have ended`() {
        val holder = claim("a").makeCalls()
        for (copy in listOf(store, FakeStore())) {
            store = store.restored(copy)
            val learnedAt = now
            val waiting = claim("b").inEpoch(store.epoch, now).afterKeyDeleted(now)
            now += times.duration - 1.milliseconds
            expectThat(waiting.afterKeyDeleted(now).nextCall(now)).isNull()
            now += 1.milliseconds
            expectThat(waiting.afterKeyDeleted(now).makeCalls().held(now)).isNotNull().and {
                get { continues }.isEqualTo(0)
                get { sendFrom }.isEqualTo(learnedAt + times.duration + times.drift + times.sendTimeout)
            }
        }
        expectThat(holder.held(now)).isNull()
    }

    // Guards against a process that takes its position up again after another has acted in the role.
    @Test
    fun `given a holder whose lease had ended when it learned of a restore, when it claims, then it waits and continues nothing`() {
        val before = claim("a").makeCalls()
        val entered = before.inEpoch(1, now)
        now += times.duration
        for (late in listOf(before.inEpoch(1, now), entered.inEpoch(2, now))) {
            expectThat(late.previous).isNull()
            expectThat(late.nextCall(now + times.duration - 1.milliseconds)).isNull()
            expectThat(late.nextCall(now + times.duration)).isNotNull()
        }
    }

    // Guards against a process that learned of a restore in time, and takes its position up again after another has acted.
    @Test
    fun `given a holder that learned of a restore in time, when another has held the lease since, then its claim continues nothing`() {
        val holder = claim("a").makeCalls()
        store = store.restored(store)
        val (entered, waiting) = listOf(holder.inEpoch(1, now), claim("b").inEpoch(1, now))
        now += times.duration + 1.seconds
        waiting.makeCalls().also { now = it.held(now)!!.sendFrom }.release().makeNextCall()
        expectThat(entered.makeCalls().held(now)).isNotNull().get { continues }.isEqualTo(0)
    }

    private fun LeaseClaim.makeCalls() = makeNextCall().makeNextCall().makeNextCall()

    private fun claim(
        owner: String,
        key: String = "k",
    ) = LeaseClaim(key, owner, times)

    /** Makes the next call, which reaches the store after [delay]; with [loseAnswer] it takes effect but fails. */
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
