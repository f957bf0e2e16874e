// A lease as its holder sees it, and the check that the holder makes before each send.
package org.ragwortlever.core.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Durations of the lease protocol.
 *
 * @property duration time to live of the lease in the store after a grant or a renewal.
 * @property renewalInterval time between two renewals.
 * @property drift maximum difference that builds up between two clocks within the duration of one lease.
 * @property sendTimeout maximum time from the [HeldLease.isSafeToSend] check to the last byte of the send.
 * @property retry delay before a failed call is retried.
 * @property candidatePollInterval interval at which a preferred candidate checks whether the role is free.
 * @property fallbackPollInterval interval at which every other node checks, in case all candidates have failed.
 */
data class LeaseTimes(
    val duration: Duration = 10.seconds,
    val renewalInterval: Duration = 3.seconds,
    val drift: Duration = 500.milliseconds,
    val sendTimeout: Duration = 2.seconds,
    val retry: Duration = 1.seconds,
    val candidatePollInterval: Duration = 1.seconds,
    val fallbackPollInterval: Duration = 30.seconds,
)

/**
 * A lease that this process holds.
 *
 * @property key lease key in the store.
 * @property lease id of the lease in the store.
 * @property fencing fencing token: the creation revision of the key with the store's epoch, which is higher for each later
 *   holder.
 * @property until end of the lease by the holder's clock; the store ends it later by the drift allowance.
 * @property sendFrom time by the holder's clock from which no send of the previous holder can still be in progress.
 * @property continues fencing token of the lease of an earlier epoch of the store that this one continues, which means that
 *   nobody else has acted in the role between the two; 0 if there is none.
 */
data class HeldLease(
    val key: String,
    val lease: Long,
    val fencing: Long,
    val until: Instant,
    val sendFrom: Instant,
    val continues: Long = 0,
) {
    /** Whether the lease is valid at [now] by the holder's clock. */
    fun isHeld(now: Instant): Boolean = now < until

    /** Whether the holder may act in its role: it holds the lease and the previous holder can no longer send. */
    fun isInCharge(now: Instant): Boolean = isHeld(now) && now >= sendFrom

    /** Whether a send that starts at [now] ends before the lease does. */
    fun isSafeToSend(
        now: Instant,
        times: LeaseTimes,
    ): Boolean = isInCharge(now) && until - now > times.sendTimeout + times.drift
}
