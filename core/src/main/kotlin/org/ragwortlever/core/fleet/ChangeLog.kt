/*
 * The recent changes of the store as one entry VM has seen them, kept for relaying to other VMs. A few VMs (relays) query
 * the store and the others query the relays, so the load on the store does not grow with the fleet.
 */
package org.ragwortlever.core.fleet

import kotlinx.serialization.Serializable
import org.ragwortlever.core.store.StoreChange
import org.ragwortlever.core.store.StoreEntry
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** One store change in the wire format between entry VMs; [value] is null for a removal. */
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

/**
 * A VM's request to a relay for the changes after [revision].
 *
 * @property waitMilliseconds how long the relay may wait for a change before it answers.
 * @property load load that the VM's own callers put on each service, by the service's name.
 */
@Serializable
data class RelayRequest(
    val node: String,
    val revision: Long,
    val waitMilliseconds: Long,
    val load: Map<String, ServiceLoad>,
)

/**
 * A relay's response.
 *
 * @property revision store revision up to which the changes go.
 * @property ageMilliseconds time since the store confirmed the relay's state.
 * @property changes changes in store order; null if the relay no longer has all of them.
 */
@Serializable
data class RelayResponse(
    val revision: Long,
    val ageMilliseconds: Long,
    val changes: List<RelayedChange>?,
)

/** The recent store changes, kept for relaying; thread-safe. */
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

    /** Clears the log after a complete listing of the store at [revision]. */
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

    /** Appends the [changes] after the current revision up to [revision], the store's state at [confirmedAt]. */
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

    /** Returns the changes after revision [after], without waiting. */
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

    /** Like [since], but waits up to [wait] for a change after revision [after]. */
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
        // Longer than any interval between two requests of a live VM.
        val RETENTION = 10.seconds
        val MAX_AGE = 3600.seconds
    }
}
