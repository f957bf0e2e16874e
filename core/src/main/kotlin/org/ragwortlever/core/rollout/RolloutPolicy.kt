/*
 * Decides the next stage of a roll-out. The new version gets a small share until it has been compared with the old one for
 * long enough, then all requests; the roll-out is completed when nothing runs on the old version any more, or at its
 * deadline. A version that is found bad is rolled back at once, at any stage before that.
 */
package org.ragwortlever.core.rollout

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * What a decision on a roll-out depends on.
 *
 * @property newServers number of servers of the new version that take requests.
 * @property silentNodes number of VMs that have not reported to this one what they run.
 * @property oldServers number of servers of the other versions that take requests.
 */
data class RolloutState(
    val order: RolloutOrder,
    val record: RolloutRecord?,
    val verdict: Verdict,
    val evidence: VersionEvidence,
    val newServers: Int,
    val oldServers: Int,
    val silentNodes: Int = 0,
)

/**
 * @param self name of this VM.
 * @param canaryShare share of the requests that a version gets before it is promoted.
 */
class RolloutPolicy(
    private val self: String,
    private val canaryShare: Double = DEFAULT_CANARY_SHARE,
) {
    /** Returns the record that has to be written; the current one if nothing changes. */
    fun next(
        state: RolloutState,
        now: Instant,
    ): RolloutRecord {
        val record = state.record?.takeIf { it.carriesOut(state.order) }?.withRevisionOf(state.order) ?: begin(state.order, now)
        if (!record.isOpen) return record
        val verdict = state.verdict
        if (verdict is Verdict.Bad) return record.enter(RolloutStage.ROLLED_BACK, 0.0, verdict.reason, now)
        val next = if (record.stage == RolloutStage.CANARY) nextOfCanary(record, state, now) else nextOfPromoted(record, state, now)
        return if (next.holder == self) next else next.copy(holder = self)
    }

    private fun begin(
        order: RolloutOrder,
        now: Instant,
    ): RolloutRecord {
        val start = now.toEpochMilliseconds()
        return RolloutRecord(
            service = order.service,
            order = order.revision,
            version = order.version,
            stage = RolloutStage.CANARY,
            share = 0.0,
            startedAtMilliseconds = start,
            stageSinceMilliseconds = start,
            deadlineMilliseconds = start + order.duration.inWholeMilliseconds,
            holder = self,
            reason = "ordered",
        )
    }

    private fun nextOfCanary(
        record: RolloutRecord,
        state: RolloutState,
        now: Instant,
    ): RolloutRecord {
        if (state.newServers == 0) return record.withShare(0.0)
        val progress = record.progressAt(now)
        val verdict = state.verdict
        val isCompared = verdict is Verdict.Good && progress >= EARLIEST_PROMOTION
        val isDue = progress >= LATEST_PROMOTION
        return when {
            isDue && verdict is Verdict.Open && verdict.suspicion >= MAX_SUSPICION -> {
                record.enter(RolloutStage.ROLLED_BACK, 0.0, "suspicious at the time of promotion", now)
            }
            isDue && state.evidence.newAnswers == 0 && state.oldServers > 0 && progress < 1 -> {
                record.withShare(canaryShare)
            }
            isCompared || isDue -> {
                record.enter(RolloutStage.PROMOTED, 1.0, "answered ${state.evidence.newAnswers} requests", now)
            }
            else -> {
                record.withShare(canaryShare)
            }
        }
    }

    private fun nextOfPromoted(
        record: RolloutRecord,
        state: RolloutState,
        now: Instant,
    ): RolloutRecord {
        val age = now - Instant.fromEpochMilliseconds(record.stageSinceMilliseconds)
        val timeLeft = Instant.fromEpochMilliseconds(record.deadlineMilliseconds) - now
        val isEmpty = state.evidence.runningOnOld == 0 && state.silentNodes == 0 && age >= PROMOTION_REACHES_ALL
        if (!isEmpty && timeLeft > COMPLETION_MARGIN) return record
        return record.enter(RolloutStage.COMPLETED, 1.0, "${state.evidence.runningOnOld} requests ran on the old version", now)
    }

    private fun RolloutRecord.withShare(next: Double) = if (share == next) this else copy(share = next, holder = self)

    private fun RolloutRecord.enter(
        next: RolloutStage,
        share: Double,
        reason: String,
        now: Instant,
    ) = copy(stage = next, share = share, stageSinceMilliseconds = now.toEpochMilliseconds(), holder = self, reason = reason)

    private fun RolloutRecord.progressAt(now: Instant): Double {
        val total: Duration = (deadlineMilliseconds - startedAtMilliseconds).milliseconds
        if (total <= Duration.ZERO) return 1.0
        return (now - Instant.fromEpochMilliseconds(startedAtMilliseconds)) / total
    }

    companion object {
        /** Half of what the platform's pages allow a bad version, as the share counts requests and not arrivals. */
        const val DEFAULT_CANARY_SHARE: Double = 0.05

        // A version may turn bad only after a while, and requests need the rest of the time to end on the old one.
        private const val EARLIEST_PROMOTION = 0.45
        private const val LATEST_PROMOTION = 0.6
        private const val MAX_SUSPICION = 0.4

        // All VMs in touch read the store or a relay at least twice in this time.
        private val PROMOTION_REACHES_ALL = 3.seconds
        private val COMPLETION_MARGIN = 800.milliseconds
    }
}
