// When a node reads from the store. One call of a kind runs at a time, and repeated ones are spread in time.
package org.ragwortlever.core.distribution

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal class StoreCalls(
    private val random: Random,
    private val start: (StoreCall) -> Unit,
) {
    private val running = HashMap<StoreCall, StartedCall>()
    private var nextHead = Instant.DISTANT_PAST
    private var nextChanges = Instant.DISTANT_PAST
    private var nextSections = Instant.DISTANT_PAST

    fun isRunning(call: StoreCall): Boolean = call in running

    /** Notes that [call] has ended and returns how it started. */
    fun ended(call: StoreCall): StartedCall? = running.remove(call)

    fun readHead(
        now: Instant,
        revision: Long,
    ) = call(StoreCall.READ_HEAD, now, revision)

    /** A watcher reads the head all the time, any other node when no proof has come from the others. */
    fun readHeadWhenDue(
        now: Instant,
        revision: Long,
        isWatcher: Boolean,
        proofAge: Duration?,
    ) {
        if (now < nextHead || revision == 0L) return
        if (!isWatcher && proofAge != null && proofAge < STALE_PROOF) return
        nextHead = now + if (isWatcher) WATCHER_READ_PERIOD else DIRECT_READ_PERIOD * random.nextDouble(0.5, 1.5)
        readHead(now, revision)
    }

    fun readChanges(
        now: Instant,
        revision: Long,
    ) {
        if (now < nextChanges) return
        nextChanges = now + CHANGES_READ_PERIOD
        call(StoreCall.READ_CHANGES, now, revision)
    }

    fun readSections(
        now: Instant,
        revision: Long,
    ) {
        if (now < nextSections) return
        nextSections = now + SECTIONS_READ_PERIOD * random.nextDouble(0.5, 1.5)
        call(StoreCall.READ_SECTIONS, now, revision)
    }

    private fun call(
        call: StoreCall,
        now: Instant,
        revision: Long,
    ) {
        val before = running[call]
        if (before != null && now - before.time < CALL_FORGOTTEN) return
        running[call] = StartedCall(now, revision)
        start(call)
    }

    /** A call to the store that started at [time], when the copy had [revision]. */
    internal class StartedCall(
        val time: Instant,
        val revision: Long,
    )

    private companion object {
        val WATCHER_READ_PERIOD = 500.milliseconds
        val DIRECT_READ_PERIOD = 2.seconds
        val CHANGES_READ_PERIOD = 500.milliseconds
        val SECTIONS_READ_PERIOD = 2.seconds

        // Two questions to watchers have failed by then; one second is left before the copy is no longer trusted.
        val STALE_PROOF = 4.seconds

        // An answer that never comes must not block the next call.
        val CALL_FORGOTTEN = 3.seconds
    }
}
