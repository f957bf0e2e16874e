/*
 * The latest changes of the store as one entry VM has seen them, so that it can pass them on to others. A few VMs ask
 * the store, and the rest ask those: what the store has to answer does not grow with the fleet.
 */
package org.ragwortlever.core.fleet

import kotlinx.serialization.Serializable
import org.ragwortlever.core.store.StoreChange
import org.ragwortlever.core.store.StoreEntry
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** One change as it travels between entry VMs; [value] is null for a removal. */
@Serializable
data class RelayedChange(
    val key: String,
    val value: String?,
    val createRevision: Long = 0,
    val modifyRevision: Long = 0,
    val lease: Long = 0,
) {
    fun toStoreChange(): StoreChange =
        value?.let { StoreChange.Put(StoreEntry(key, it, createRevision, modifyRevision, lease)) } ?: StoreChange.Removed(key)

    companion object {
        fun of(change: StoreChange): RelayedChange =
            when (change) {
                is StoreChange.Put -> change.entry.run { RelayedChange(key, value, createRevision, modifyRevision, lease) }
                is StoreChange.Removed -> RelayedChange(change.key, null)
            }
    }
}

/** A VM's question to a relay: the changes after [revision]; with what its own callers ask for. */
@Serializable
data class RelayRequest(
    val node: String,
    val revision: Long,
    val waitMilliseconds: Long,
    val load: Map<String, ServiceLoad>,
)

/**
 * A relay's answer.
 *
 * @property revision the changes go up to this one.
 * @property ageMilliseconds time since the store confirmed the relay's state.
 * @property changes null when the relay no longer has all of them.
 */
@Serializable
data class RelayResponse(
    val revision: Long,
    val ageMilliseconds: Long,
    val changes: List<RelayedChange>?,
)

/** Thread-safe. */
class ChangeLog {
    private class Batch(
        val from: Long,
        val to: Long,
        val at: Instant,
        val changes: List<StoreChange>,
    )

    private val batches = ArrayDeque<Batch>()
    private var revision: Long? = null
    private var confirmedAt = Instant.DISTANT_PAST

    /** Begins anew with a whole listing at [revision]. */
    @Synchronized
    fun reset(
        revision: Long,
        confirmedAt: Instant,
    ) {
        batches.clear()
        this.revision = revision
        this.confirmedAt = confirmedAt
        notifyWaiters()
    }

    /** Adds the [changes] after the present revision up to [revision], which held at [confirmedAt]. */
    @Synchronized
    fun append(
        revision: Long,
        changes: List<StoreChange>,
        confirmedAt: Instant,
    ) {
        val from = this.revision ?: return
        this.confirmedAt = maxOf(this.confirmedAt, confirmedAt)
        if (changes.isNotEmpty()) batches += Batch(from, revision, confirmedAt, changes)
        while (batches.isNotEmpty() && confirmedAt - batches.first().at > RETENTION) batches.removeFirst()
        this.revision = revision
        notifyWaiters()
    }

    /** The changes after [after], now. */
    @Synchronized
    fun since(
        after: Long,
        now: Instant,
    ): RelayResponse {
        val current = revision
        val age = (now - confirmedAt).coerceIn(Duration.ZERO, MAX_AGE).inWholeMilliseconds
        if (current == null || after > current) return RelayResponse(after, MAX_AGE.inWholeMilliseconds, emptyList())
        val newer = batches.filter { it.to > after }
        val oldest = newer.firstOrNull()?.from ?: current
        if (oldest > after) return RelayResponse(current, age, null)
        return RelayResponse(current, age, newer.flatMap { it.changes }.map(RelayedChange::of))
    }

    /** Like [since], but waits up to [wait] while there is nothing new. */
    fun await(
        after: Long,
        wait: Duration,
        now: () -> Instant,
    ): RelayResponse {
        val end = now() + wait
        synchronized(this) {
            while ((revision ?: Long.MIN_VALUE) <= after) {
                val left = (end - now()).inWholeMilliseconds
                if (left <= 0) break
                @Suppress("PLATFORM_CLASS_MAPPED_TO_KOTLIN")
                (this as Object).wait(left)
            }
        }
        return since(after, now())
    }

    private fun notifyWaiters() {
        @Suppress("PLATFORM_CLASS_MAPPED_TO_KOTLIN")
        (this as Object).notifyAll()
    }

    private companion object {
        // Longer than any pause between two questions of a VM that is alive.
        val RETENTION = 10.seconds
        val MAX_AGE = 3600.seconds
    }
}
