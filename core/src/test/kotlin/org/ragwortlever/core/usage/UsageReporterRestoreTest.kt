package org.ragwortlever.core.usage

import org.junit.jupiter.api.Test
import org.ragwortlever.core.lease.HeldLease
import org.ragwortlever.core.store.FakeStore
import org.ragwortlever.core.store.StoreCall
import org.ragwortlever.core.store.Transaction
import org.ragwortlever.core.store.Write
import org.ragwortlever.core.store.revisionInEpoch
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Guards against two counts of one window, and against a reporter that stops, after the store has come back from a copy. */
class UsageReporterRestoreTest {
    private val newReporter = UsageReporter(gracePeriod = 2.seconds)
    private val sent = ArrayList<SealedWindow>()
    private var now = window(0).start
    private var store = FakeStore()
    private var acceptsReports = true
    private lateinit var lease: HeldLease

    init {
        put(UsageKeys.CURSOR, cursor(-1).encode())
    }

    @Test
    fun `given a memory, when the lease in a new epoch comes later, then only the lease that continues the last one keeps it`() {
        val copy = store
        val before = newReporter.holding().runThrough(2)
        val reported = windows()
        for ((continues, expected) in listOf(before.fencing to (0..5).toList(), 0L to listOf(0, 1, 2, 5))) {
            now = window(5).start
            restore(copy, reported)
            before.underLease(null, now).holding(continues).runThrough(5)
            expectThat(windows()).isEqualTo(expected)
        }
    }

    @Test
    fun `given a copy that is ahead of the memory or of the clock, when the position is restored, then no window is reported again`() {
        val copy = store
        val before = newReporter.holding().runThrough(0)
        for ((reporter, continues) in listOf(before to before.fencing, newReporter to 0L)) {
            now = window(1).start
            restore(copy, emptyList())
            put(UsageKeys.CURSOR, cursor(2).encode())
            reporter.holding(continues).runThrough(4)
            expectThat(windows()).isEqualTo(listOf(3, 4))
        }
    }

    @Test
    fun `given a window that may have been reported, when the store loses its seal once or twice, then the same bytes are sent`() {
        flush(0, requests = 7)
        val copy = store
        flush(0, requests = 9)
        acceptsReports = false
        var reporter = newReporter.holding().runThrough(0)
        val bytes = sent.first().encode()
        for (calls in listOf(0, 1, 2, 3, 6)) {
            restore(copy, emptyList())
            reporter = reporter.holding(reporter.fencing)
            repeat(calls) { reporter = reporter.step() }
        }
        restore(copy, emptyList())
        acceptsReports = true
        reporter.holding(reporter.fencing).runThrough(2)
        expectThat(windows()).isEqualTo(listOf(0, 1, 2))
        expectThat(sent.first().encode()).isEqualTo(bytes)
    }

    @Test
    fun `given a holder without memory, when its position is restored, then the window of the restore is next`() {
        for ((copy, callsBefore) in listOf(store to 0, FakeStore() to 0, store to 1)) {
            now = window(5).start
            restore(copy, emptyList())
            var reporter = newReporter.holding()
            repeat(callsBefore) { reporter = reporter.step() }
            if (callsBefore > 0) restore(copy, emptyList())
            reporter.holding(reporter.fencing).runThrough(7)
            expectThat(windows()).describedAs("$callsBefore calls before").isEqualTo(listOf(5, 6, 7))
        }
    }

    @Test
    fun `given a window sealed in the copy, when there is no memory, then it is reported only if no other totals can exist`() {
        put(UsageKeys.CURSOR, UsageCursor(name(0), name(-1)).encode())
        val withoutTotals = store
        put(UsageKeys.sealed(name(0)), SealedWindow(name(0), counts(5), emptyMap()).encode())
        val sealed = store
        for ((copy, restores, expected) in listOf(
            Triple(sealed, 1, listOf(0, 5, 6)),
            Triple(withoutTotals, 1, listOf(5, 6)),
            // After the first restore another process may have sealed the window with other totals.
            Triple(sealed, 2, listOf(5, 6)),
        )) {
            now = window(5).start
            store = sealed
            repeat(restores) { restore(copy, emptyList()) }
            newReporter.holding().runThrough(6)
            expectThat(windows()).describedAs("$restores restores").isEqualTo(expected)
        }
    }

    @Test
    fun `given an answer of a newer epoch than the lease, when the lease ends, then the reporter remembers nothing of it`() {
        val copy = store
        val reporter = newReporter.holding().runThrough(1)
        restore(copy, emptyList())
        val read = ReporterAnswer.FromStore(store.call(StoreCall.Read(UsageKeys.CURSOR), now).second)
        val answered = reporter.copy(stage = ReporterStage.ReadCursor).answered(read, lease.fencing, now)
        expectThat(answered.underLease(null, now).memory?.cursor).isEqualTo(cursor(1))
    }

    @Test
    fun `given a restore, when nodes flush their counts again within the time of a lease, then the window has them`() {
        val before = newReporter.holding().runThrough(0)
        now = window(1).end
        restore(store, emptyList())
        val after = before.holding(before.fencing).runUntil(now + 9.seconds)
        flush(1, requests = 4)
        after.runThrough(1)
        expectThat(sent.single().totals).isEqualTo(counts(4))
    }

    @Test
    fun `given flushed counts, when the store is restored before their retention ends, then they are flushed again`() {
        val end = window(0).end
        val counted = UsageLedger("node", retention = 1.minutes).record("account", UsageCounts(1), now)
        val flush = counted.dueFlushes().single().copy(storedRevision = 8)
        val flushed = counted.markFlushed(flush, end + 59.seconds)
        expectThat(flushed.dueFlushes()).isEmpty()
        val again = flush.copy(storedRevision = 0)
        val writtenAgain = flush.copy(storedRevision = revisionInEpoch(1, 8))
        expectThat(flushed.inEpoch(1).dueFlushes()).isEqualTo(listOf(again))
        // What the store had before the restore may be lost, and a ledger that does not know of the restore keeps its counts.
        expectThat(flushed.inEpoch(1).markFlushed(flush, end).dueFlushes()).isEqualTo(listOf(again))
        expectThat(counted.markFlushed(writtenAgain, end + 1.minutes)).isEqualTo(counted)
        expectThat(flushed.inEpoch(1).markFlushed(writtenAgain, end + 1.minutes).parts).isEqualTo(emptyMap())
    }

    // Guards against a holder that reports nothing because the clock of its lease has been set forward.
    @Test
    fun `given a lease whose clock is ahead of that of the windows, when its holder reports, then the lease is judged by its own`() {
        val reporter = newReporter.holding()
        val ahead = 30.seconds
        val shifted = lease.copy(sendFrom = now + ahead, until = now + ahead + 1.hours)
        expectThat(reporter.next(shifted, now)).isNull()
        expectThat(reporter.next(shifted, now, now + ahead)).isNotNull()
    }

    /** Gives the reporter a lease of the store's present epoch; [continues] is the token of the lease before. */
    private fun UsageReporter.holding(continues: Long = 0): UsageReporter {
        val key = "${UsageKeys.LEASE}@${store.revision}"
        put(key, "vm-1")
        lease = HeldLease(key, lease = 0, fencing = store.revision, until = now + 1.hours, sendFrom = now, continues = continues)
        return inEpoch(store.epoch, now).underLease(lease, now)
    }

    private fun UsageReporter.runThrough(number: Int) = runUntil(window(number).end + 30.seconds)

    private fun UsageReporter.runUntil(end: Instant): UsageReporter = generateSequence(this) { it.step() }.first { now >= end }

    /** Makes the next call, if one is due, and lets some time pass. */
    private fun UsageReporter.step(): UsageReporter {
        val call = next(lease, now)
        now += 100.milliseconds
        val answer =
            when (call) {
                null -> return this
                is ReporterCall.Report -> if (acceptsReports) ReporterAnswer.Reported else ReporterAnswer.NotReported
                is ReporterCall.ToStore -> ReporterAnswer.FromStore(store.call(call.call, now).also { store = it.first }.second)
            }
        if (call is ReporterCall.Report) sent += call.sealed
        return answered(answer, lease.fencing, now)
    }

    /** The store comes back from [copy]; of the reports so far only those of [reported] windows are kept. */
    private fun restore(
        copy: FakeStore,
        reported: List<Int>,
    ) {
        store = store.restored(copy)
        sent.retainAll { report -> report.window in reported.map(::name) }
    }

    private fun windows() = sent.map { ((UsageWindow.parse(it.window).start - window(0).start) / window(0).length).toInt() }

    private fun flush(
        window: Int,
        requests: Long,
    ) = put(UsageKeys.open(name(window), "node"), UsagePart(requests, counts(requests)).encode())

    private fun put(
        key: String,
        value: String,
    ) {
        store = store.call(StoreCall.Commit(Transaction(emptyList(), listOf(Write.Put(key, value)))), now).first
    }

    private companion object {
        fun window(number: Int) = UsageWindow(Instant.fromEpochSeconds(0) + UsageWindow.DEFAULT_LENGTH * number)

        fun name(number: Int) = window(number).name

        fun cursor(number: Int) = UsageCursor(name(number), name(number))

        fun counts(requests: Long) = mapOf("account" to UsageCounts(requests))
    }
}
