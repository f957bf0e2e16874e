package org.ragwortlever.core.usage

import org.junit.jupiter.api.Test
import org.ragwortlever.core.lease.HeldLease
import org.ragwortlever.core.lease.LeaseTimes
import org.ragwortlever.core.store.FakeStore
import org.ragwortlever.core.store.StoreAnswer
import org.ragwortlever.core.store.StoreCall
import org.ragwortlever.core.store.StoreFailure
import org.ragwortlever.core.store.Transaction
import org.ragwortlever.core.store.Write
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Guards against lost corrections when many late parts arrive at once: the store rejects a third of a large fleet, which
 * then flushes all its counts after the window was closed, more than one transaction can hold.
 */
class LatePartsTest {
    private val windowLength = 5.seconds
    private val times = LeaseTimes()
    private var now = Instant.fromEpochSeconds(1000)
    private val window = UsageWindow.containing(now, windowLength)
    private var store = FakeStore()
    private val reported = ArrayList<SealedWindow>()
    private val lease: HeldLease

    init {
        write(Write.Put(UsageKeys.LEASE, "vm-1"))
        lease = HeldLease(UsageKeys.LEASE, 0, store.revision, now + 10.minutes, now)
        val before = UsageWindow(window.start - windowLength, windowLength).name
        write(Write.Put(UsageKeys.CURSOR, UsageCursor(before, before).encode()))
    }

    @Test
    fun `given more late parts than one transaction, when windows are sealed, then none is skipped and every late count is corrected`() {
        val late = 60
        repeat(late) { write(Write.Put(UsageKeys.late(window.name, "vm-$it@1"), UsagePart(1, COUNTS).encode())) }
        now = window.end + windowLength * 6
        report()
        expectThat(reported.map { it.window }.distinct()).hasSize(6)
        expectThat(reported.flatMap { it.corrections.values }.sumOf { it.getValue("account").requests }).isEqualTo(late.toLong())
    }

    /** Runs the reporter until it has no call to make; the store rejects transactions with more than 32 entries. */
    private fun report() {
        var reporter = UsageReporter(times, 2.seconds, windowLength = windowLength).underLease(lease, window.start)
        repeat(MAXIMUM_STEPS) {
            val call = reporter.next(lease, now) ?: return
            val answer =
                when (call) {
                    is ReporterCall.Report -> ReporterAnswer.Reported.also { reported += call.sealed }
                    is ReporterCall.ToStore -> ReporterAnswer.FromStore(answer(call.call))
                }
            reporter = reporter.answered(answer, lease.fencing, now)
            if (reporter.notBefore > now) return
        }
    }

    private fun answer(call: StoreCall): StoreAnswer {
        val entries = (call as? StoreCall.Commit)?.transaction?.run { conditions.size + writes.size } ?: 0
        if (entries > MAXIMUM_TRANSACTION_ENTRIES) return StoreAnswer.Failed(StoreFailure.NoAnswer("status 400"))
        val (after, answer) = store.call(call, now)
        store = after
        return answer
    }

    private fun write(write: Write) {
        store = store.call(StoreCall.Commit(Transaction(emptyList(), listOf(write))), now).first
    }

    private companion object {
        const val MAXIMUM_TRANSACTION_ENTRIES = 32
        const val MAXIMUM_STEPS = 1000
        val COUNTS = mapOf("account" to UsageCounts(1, 0, 0))
    }
}
