package org.ragwortlever.daemon.fleet

import org.ragwortlever.core.store.StoreContact
import org.ragwortlever.core.store.StoreContactReport
import org.ragwortlever.core.store.StoreGap
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Tracks the times in which the store does not answer this VM, and finds out whether the store or this VM was at fault.
 * Used by one thread, except for [report].
 *
 * @param now a clock that also advances while the VM is suspended, as at the other entry VMs.
 * @param wasServed whether the store has answered another entry VM in the given time. May block for a short time.
 */
class StoreGapTracker(
    private val now: () -> Instant,
    private val wasServed: (StoreGap) -> Boolean = { false },
) {
    private val contact = StoreContact()
    private var lastAnswerAt: Instant? = null
    private var isOngoing = false
    private var unexplained: StoreGap? = null

    /** Whether the last gap has ended and may have been an outage of the store. */
    val isUnexplained: Boolean get() = !isOngoing && unexplained != null

    /** Returns what another entry VM may know of the store's answers to this one; null if the last call has failed. Thread-safe. */
    fun report(): StoreContactReport? = contact.report(now())

    /** Records an answer of the store, or of a relay that had the store's answer [age] ago. */
    fun recordAnswer(age: Duration) {
        contact.recordAnswer(now() - age)
        lastAnswerAt = now() - age
        isOngoing = false
    }

    fun recordFailure() {
        contact.recordFailure()
        if (isOngoing) return
        isOngoing = true
        unexplained = lastAnswerAt?.let { StoreGap(it, now()) }
    }

    /** Forgets the last gap, because entries may be missing for another reason. */
    fun forget() {
        unexplained = null
    }

    /** Asks whether the store served other entry VMs in the last gap, so that this VM alone was at fault. Blocks. */
    fun wasOwnFault(): Boolean {
        val gap = unexplained ?: return false
        if (!wasServed(gap)) return false
        unexplained = null
        return true
    }
}
