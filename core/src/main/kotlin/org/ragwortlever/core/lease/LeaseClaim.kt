/*
 * The state machine with which one process claims, renews and releases the lease of an exclusive role. One call to the
 * store is in flight at a time: `nextCall` returns it and `handleAnswer` applies its answer.
 *
 * Each epoch of the store has a lease key of its own, so neither a key nor a lease of an earlier epoch counts. The holder
 * of the epoch before claims the new key at once. All others wait until its lease must have ended, since it may not have
 * learned of the new epoch.
 */
package org.ragwortlever.core.lease

import org.ragwortlever.core.store.Condition
import org.ragwortlever.core.store.StoreAnswer
import org.ragwortlever.core.store.StoreCall
import org.ragwortlever.core.store.StoreEntry
import org.ragwortlever.core.store.Transaction
import org.ragwortlever.core.store.Write
import org.ragwortlever.core.store.committedRevision
import kotlin.time.Instant

/** State of a claim. */
sealed interface LeaseStage {
    /** Reads at [at] whether the key is free. */
    data class Polling(
        val at: Instant,
    ) : LeaseStage

    /** The key was free; requests a lease to attach the key to. */
    data object Granting : LeaseStage

    /** Creates the key with [lease], which was requested at [grantedAt]. */
    data class Claiming(
        val lease: Long,
        val grantedAt: Instant,
    ) : LeaseStage

    /** The outcome of the creation is unknown; reads at [at] which lease the key belongs to. */
    data class Verifying(
        val lease: Long,
        val grantedAt: Instant,
        val at: Instant,
    ) : LeaseStage

    /** Holds the role; renews the lease at [renewAt]. */
    data class Holding(
        val held: HeldLease,
        val renewAt: Instant,
    ) : LeaseStage

    /** Revokes the lease, so that a successor need not wait for it to expire. */
    data class Releasing(
        val lease: Long,
    ) : LeaseStage
}

/**
 * A process's claim to a role.
 *
 * @property key lease key of the role in epoch 0; in a later epoch the epoch is appended.
 * @property owner value of the key; identifies this run of the process.
 * @property epoch epoch of the store that the claim belongs to.
 * @property epochSince when this process learned of the epoch.
 * @property previous lease of an earlier epoch that this process held when it learned of [epoch].
 */
data class LeaseClaim(
    val key: String,
    val owner: String,
    val times: LeaseTimes = LeaseTimes(),
    val stage: LeaseStage = LeaseStage.Polling(Instant.DISTANT_PAST),
    val epoch: Long = 0,
    val epochSince: Instant = Instant.DISTANT_PAST,
    val previous: HeldLease? = null,
) {
    private val epochKey: String get() = if (epoch == 0L) key else "$key@$epoch"

    /** Time from which no holder of an earlier epoch can act any more, unless it is this process. */
    private val earlierEpochsEnd: Instant
        get() = if (epoch == 0L || previous != null) Instant.DISTANT_PAST else epochSince + times.duration

    /** Returns the claim in [newest], the newest epoch of the store that this process knows at [now]. */
    fun inEpoch(
        newest: Long,
        now: Instant,
    ): LeaseClaim {
        if (newest == epoch) return this
        val entered = copy(epoch = newest, epochSince = now, previous = held(now) ?: previous?.takeIf { it.isHeld(now) })
        return entered.copy(stage = LeaseStage.Polling(entered.earlierEpochsEnd))
    }

    /** Returns the claim after the key may have been deleted: it is read as soon as it may be claimed. */
    fun afterKeyDeleted(now: Instant): LeaseClaim =
        if (stage is LeaseStage.Polling) copy(stage = LeaseStage.Polling(maxOf(now, earlierEpochsEnd))) else this

    /** Returns the lease if this process holds it at [now] by its own clock. */
    fun held(now: Instant): HeldLease? = (stage as? LeaseStage.Holding)?.held?.takeIf { it.isHeld(now) }

    /** Returns the call to make at [now], or null if none is due. */
    fun nextCall(now: Instant): StoreCall? =
        when (val stage = stage) {
            is LeaseStage.Polling -> StoreCall.Read(epochKey).takeIf { now >= stage.at }
            is LeaseStage.Granting -> StoreCall.GrantLease(times.duration)
            is LeaseStage.Claiming -> StoreCall.Commit(keyCreation(stage.lease))
            is LeaseStage.Verifying -> StoreCall.Read(epochKey).takeIf { now >= stage.at }
            is LeaseStage.Holding -> StoreCall.KeepAlive(stage.held.lease).takeIf { now >= stage.renewAt }
            is LeaseStage.Releasing -> StoreCall.RevokeLease(stage.lease)
        }

    /**
     * Applies the answer to the call that [nextCall] returned at [asked].
     *
     * @param preferred whether this process is one of the preferred candidates for the role.
     */
    fun handleAnswer(
        answer: StoreAnswer,
        asked: Instant,
        now: Instant,
        preferred: Boolean = true,
    ): LeaseClaim =
        when (val stage = stage) {
            is LeaseStage.Polling -> copy(stage = handlePoll(answer, now, preferred))
            is LeaseStage.Granting -> copy(stage = handleGrant(answer, asked, now))
            is LeaseStage.Claiming -> copy(stage = handleCreation(stage, answer, now))
            is LeaseStage.Verifying -> copy(stage = handleVerification(stage, answer, now))
            is LeaseStage.Holding -> copy(stage = handleRenewal(stage, answer, asked, now))
            is LeaseStage.Releasing -> copy(stage = LeaseStage.Polling(now + times.fallbackPollInterval))
        }

    /** Releases the lease. The caller must have completed all its sends. */
    fun release(): LeaseClaim {
        val holding = stage as? LeaseStage.Holding ?: return this
        return copy(stage = LeaseStage.Releasing(holding.held.lease))
    }

    private fun handlePoll(
        answer: StoreAnswer,
        now: Instant,
        preferred: Boolean,
    ): LeaseStage =
        when {
            answer !is StoreAnswer.Found -> LeaseStage.Polling(now + times.retry)
            answer.read.entries.isEmpty() -> LeaseStage.Granting
            answer.read.entries.first().value == owner -> resumeHolding(answer.read.entries.first(), now)
            else -> LeaseStage.Polling(now + if (preferred) times.candidatePollInterval else times.fallbackPollInterval)
        }

    /**
     * The store still has this process's own key, after an outage or because of a late write. The lease counts as held only
     * once a renewal succeeds.
     */
    private fun resumeHolding(
        entry: StoreEntry,
        now: Instant,
    ): LeaseStage =
        LeaseStage.Holding(
            HeldLease(epochKey, entry.lease, entry.createRevision, now, sendFrom(now), continuedAt(now)),
            renewAt = now,
        )

    private fun handleGrant(
        answer: StoreAnswer,
        asked: Instant,
        now: Instant,
    ): LeaseStage =
        if (answer is StoreAnswer.LeaseGranted) LeaseStage.Claiming(answer.lease, asked) else LeaseStage.Polling(now + times.retry)

    private fun handleCreation(
        stage: LeaseStage.Claiming,
        answer: StoreAnswer,
        now: Instant,
    ): LeaseStage {
        val fencing = answer.committedRevision() ?: return LeaseStage.Verifying(stage.lease, stage.grantedAt, now)
        return startHolding(stage.lease, fencing, stage.grantedAt, now)
    }

    private fun handleVerification(
        stage: LeaseStage.Verifying,
        answer: StoreAnswer,
        now: Instant,
    ): LeaseStage {
        if (now >= stage.grantedAt + times.duration) return LeaseStage.Polling(now)
        if (answer !is StoreAnswer.Found) return stage.copy(at = now + times.retry)
        val entry = answer.read.entries.firstOrNull() ?: return LeaseStage.Claiming(stage.lease, stage.grantedAt)
        if (entry.lease != stage.lease) return LeaseStage.Releasing(stage.lease)
        return startHolding(stage.lease, entry.createRevision, stage.grantedAt, now)
    }

    private fun handleRenewal(
        stage: LeaseStage.Holding,
        answer: StoreAnswer,
        asked: Instant,
        now: Instant,
    ): LeaseStage =
        when {
            answer is StoreAnswer.KeptAlive && answer.alive -> {
                LeaseStage.Holding(stage.held.copy(until = asked + times.duration - times.drift), asked + times.renewalInterval)
            }
            answer is StoreAnswer.KeptAlive || !stage.held.isHeld(now) -> {
                LeaseStage.Polling(now)
            }
            else -> {
                stage.copy(renewAt = now + times.retry)
            }
        }

    /**
     * The lease began in the store after [grantedAt], so it ends earlier by the holder's clock than in the store. The
     * previous holder's key may have been removed at any time before the answer, so `sendFrom` is counted from [now].
     */
    private fun startHolding(
        lease: Long,
        fencing: Long,
        grantedAt: Instant,
        now: Instant,
    ): LeaseStage =
        LeaseStage.Holding(
            HeldLease(epochKey, lease, fencing, grantedAt + times.duration - times.drift, sendFrom(now), continuedAt(now)),
            grantedAt + times.renewalInterval,
        )

    /**
     * Returns the fencing token that a lease which is claimed at [now] continues. From the end of the previous lease by the
     * store's clock another process may have claimed the role, and from [sendFrom] of its lease on it may have acted.
     */
    private fun continuedAt(now: Instant): Long {
        val last = previous ?: return 0
        return if (now < last.until + times.drift * 2 + times.sendTimeout) last.fencing else 0
    }

    private fun sendFrom(now: Instant) = maxOf(now, earlierEpochsEnd) + times.drift + times.sendTimeout

    private fun keyCreation(lease: Long) = Transaction(listOf(Condition.Absent(epochKey)), listOf(Write.Put(epochKey, owner, lease)))
}
