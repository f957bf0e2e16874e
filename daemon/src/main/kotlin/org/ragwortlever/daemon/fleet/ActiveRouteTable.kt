package org.ragwortlever.daemon.fleet

import org.ragwortlever.core.route.RouteTable
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Holds the active route table, which is missing for a short time after the VM has started. Thread-safe.
 *
 * @param startedAt when the VM began to read its first table.
 */
internal class ActiveRouteTable(
    private val startedAt: Instant,
    private val now: () -> Instant,
) {
    private val firstTable = CountDownLatch(1)

    @Volatile
    var table: RouteTable? = null
        private set

    /** Makes [next] the active table. */
    fun replace(next: RouteTable) {
        table = next
        firstTable.countDown()
    }

    /**
     * Returns the active table. Shortly after the start it blocks until the first table is available, because a rejected
     * caller would retry much later than the table arrives. Returns null if there is still none.
     */
    fun await(): RouteTable? {
        val remaining = startedAt + FIRST_TABLE_TIMEOUT - now()
        if (table == null && remaining > Duration.ZERO) firstTable.await(remaining.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        return table
    }

    private companion object {
        // The first read of the store takes about a quarter of a second on a slow VM.
        val FIRST_TABLE_TIMEOUT = 800.milliseconds
    }
}
