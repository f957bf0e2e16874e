// The route table in force, which a VM that has just started does not have for a moment.
package org.ragwortlever.daemon.fleet

import org.ragwortlever.core.route.RouteTable
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** @param startedAt when the VM began to look for its first table. */
internal class ActiveRouteTable(
    private val startedAt: Instant,
    private val now: () -> Instant,
) {
    private val firstTable = CountDownLatch(1)

    @Volatile
    var table: RouteTable? = null
        private set

    /** Puts [next] in force. */
    fun replace(next: RouteTable) {
        table = next
        firstTable.countDown()
    }

    /**
     * The table in force. Right after the start the caller's thread waits for the first one, because a caller that is
     * sent away comes back much later than the table; null when there is still none.
     */
    fun await(): RouteTable? {
        val remaining = startedAt + FIRST_TABLE_TIMEOUT - now()
        if (table == null && remaining > Duration.ZERO) firstTable.await(remaining.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        return table
    }

    private companion object {
        // Reading the store for the first time takes about a quarter of a second on a slow VM.
        val FIRST_TABLE_TIMEOUT = 800.milliseconds
    }
}
