package org.ragwortlever.core.rollout

import org.junit.jupiter.api.Test
import org.ragwortlever.core.store.revisionInEpoch
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class RolloutPolicyTest {
    private val policy = RolloutPolicy("vm-1")
    private val order = RolloutOrder("service", "v2", 20.seconds, revision = 7)

    private fun state(
        record: RolloutRecord?,
        verdict: Verdict = Verdict.Open(0.0),
        newServers: Int = 10,
        runningOnOld: Int = 0,
        silentNodes: Int = 0,
        order: RolloutOrder = this.order,
    ) = RolloutState(
        order,
        record,
        verdict,
        VersionEvidence(new = mapOf("a" to RouteOutcomes(100)), runningOnOld = runningOnOld),
        newServers,
        oldServers = 10,
        silentNodes,
    )

    /** Plays a roll-out with a decision each 300 ms and returns the stage at each of them. */
    private fun play(
        until: Duration = 25.seconds,
        state: (RolloutRecord?, Duration) -> RolloutState,
    ): List<Pair<Duration, RolloutRecord>> {
        var record: RolloutRecord? = null
        return (0..(until / STEP).toInt()).map { step ->
            val next = policy.next(state(record, STEP * step), START + STEP * step)
            record = next
            STEP * step to next
        }
    }

    @Test
    fun `given a good version, when its traffic moves, then it is completed before the deadline and was a canary for long`() {
        val course = play { record, time -> state(record, Verdict.Good, runningOnOld = if (time < 14.seconds) 5 else 0) }
        val completed = course.first { it.second.stage == RolloutStage.COMPLETED }.first
        val promoted = course.first { it.second.stage == RolloutStage.PROMOTED }.first
        expectThat(completed).isLessThan(20.seconds)
        expectThat(promoted >= 9.seconds).isEqualTo(true)
    }

    @Test
    fun `given requests that run on the old version for long, when the deadline comes near, then it is completed nevertheless`() {
        val course = play { record, _ -> state(record, Verdict.Good, runningOnOld = 5) }
        expectThat(course.first { it.second.stage == RolloutStage.COMPLETED }.first).isLessThan(20.seconds)
    }

    @Test
    fun `given a version found bad at any moment before its completion, then it gets nothing more and stays rolled back`() {
        for (step in 0..45) {
            val verdict = { time: Duration -> if (time >= STEP * step) Verdict.Bad("failures") else Verdict.Open(0.0) }
            val course = play { record, time -> state(record, verdict(time), runningOnOld = 1) }
            val end = course.last().second
            expectThat(end.stage).isEqualTo(RolloutStage.ROLLED_BACK)
            expectThat(end.share).isEqualTo(0.0)
            expectThat(course[step].second.stage).isEqualTo(RolloutStage.ROLLED_BACK)
        }
    }

    @Test
    fun `given a suspicious version, when it would be promoted without a verdict, then it is rolled back`() {
        val course = play { record, _ -> state(record, Verdict.Open(0.7)) }
        expectThat(course.last().second.stage).isEqualTo(RolloutStage.ROLLED_BACK)
    }

    @Test
    fun `given no server of the new version, then it has no share`() {
        val course = play(8.seconds) { record, time -> state(record, newServers = if (time < 4.seconds) 0 else 3) }
        expectThat(course.first { it.second.share > 0 }.first >= 4.seconds).isEqualTo(true)
    }

    @Test
    fun `given a new holder, when VMs have not reported to it, then it does not take silence for an empty old version`() {
        val course = play { record, _ -> state(record, Verdict.Good, runningOnOld = 1) }
        val promoted = course.first { it.second.stage == RolloutStage.PROMOTED }.second
        val successor = RolloutPolicy("vm-2")
        val soon = Instant.fromEpochMilliseconds(promoted.stageSinceMilliseconds) + 4.seconds
        expectThat(successor.next(state(promoted, silentNodes = 1), soon).stage).isEqualTo(RolloutStage.PROMOTED)
        expectThat(successor.next(state(promoted), soon).stage).isEqualTo(RolloutStage.COMPLETED)
    }

    @Test
    fun `given a holder that takes over at any moment, then the roll-out goes on from where it was`() {
        for (step in 1..40) {
            var holder = policy
            var record: RolloutRecord? = null
            (0..70).forEach { turn ->
                if (turn == step) holder = RolloutPolicy("vm-2")
                val next = holder.next(state(record, Verdict.Good), START + STEP * turn)
                record?.let { before ->
                    expectThat(next.stage >= before.stage).isEqualTo(true)
                    expectThat(next.startedAtMilliseconds).isEqualTo(before.startedAtMilliseconds)
                }
                record = next
            }
            expectThat(record?.stage).isEqualTo(RolloutStage.COMPLETED)
        }
    }

    @Test
    fun `given an order that is written again halfway, then the roll-out begins anew without a share`() {
        val before = play(6.seconds) { record, _ -> state(record) }.last().second
        val again = policy.next(state(before, order = order.copy(version = "v3", revision = 9), newServers = 0), START + 7.seconds)
        expectThat(again.version).isEqualTo("v3")
        expectThat(again.share).isEqualTo(0.0)
    }

    @Test
    fun `given a roll-out at any moment, when the store has been restored, then it goes on from where it was`() {
        val restored = order.copy(revision = revisionInEpoch(1, 3))
        play { record, _ -> state(record, Verdict.Good, runningOnOld = 1) }.forEach { (time, before) ->
            val next = policy.next(state(before, runningOnOld = 1, order = restored), START + time)
            expectThat(next.order).isEqualTo(restored.revision)
            expectThat(next.startedAtMilliseconds).isEqualTo(before.startedAtMilliseconds)
            expectThat(next.stage >= before.stage).isEqualTo(true)
        }
    }

    @Test
    fun `given a roll-out that has followed its order into a new epoch, when the order is written again there, then it begins anew`() {
        val restored = order.copy(revision = revisionInEpoch(1, 3))
        val ended = play { record, _ -> state(record, Verdict.Good) }.last().second
        val followed = policy.next(state(ended, order = restored), START + 25.seconds)
        expectThat(followed.stage).isEqualTo(RolloutStage.COMPLETED)
        val again = policy.next(state(followed, order = restored.copy(revision = revisionInEpoch(1, 9))), START + 26.seconds)
        expectThat(again.stage).isEqualTo(RolloutStage.CANARY)
    }

    private companion object {
        val START = Instant.fromEpochMilliseconds(1_700_000_000_000)
        val STEP = 0.3.seconds
    }
}
