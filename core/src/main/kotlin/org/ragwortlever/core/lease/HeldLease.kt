// A lease as its holder sees it, and the check that a holder makes before each send.
package org.ragwortlever.core.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Times of the lease protocol.
 *
 * @property duration how long the store keeps the lease after a grant or a renewal.
 * @property renewalInterval time between two renewals.
 * @property drift how far two clocks may run apart within one lease.
 * @property sendTimeout longest time from the safe-to-send check to the last byte of a send.
 * @property retry pause before a failed call is repeated.
 * @property candidatePollInterval how often a preferred candidate looks whether the role is free.
 * @property fallbackPollInterval how often every other node looks, in case all candidates are gone.
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
 * @property key the lease key in the store.
 * @property lease id of the lease at the store.
 * @property fencing creation revision of the key; each later holder has a higher one.
 * @property until end of the lease by the holder's clock; the store's end is later by the drift allowance.
 * @property sendFrom when the previous holder's last send has ended for certain, by this holder's clock.
 */
data class HeldLease(
    val key: String,
    val lease: Long,
    val fencing: Long,
    val until: Instant,
    val sendFrom: Instant,
) {
    /** Whether the holder may act on the lease at all. */
    fun isHeld(now: Instant): Boolean = now < until

    /** Whether the holder is in charge: it holds the lease and the previous holder can no longer send. */
    fun isInCharge(now: Instant): Boolean = isHeld(now) && now >= sendFrom

    /** Whether a send that starts now ends before the lease does. */
    fun isSafeToSend(
        now: Instant,
        times: LeaseTimes,
    ): Boolean = isInCharge(now) && until - now > times.sendTimeout + times.drift
}
