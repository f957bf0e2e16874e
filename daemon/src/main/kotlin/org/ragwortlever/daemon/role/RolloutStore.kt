// Reads and writes the state of roll-outs in the platform's store, under the lease of the fleet's duties.
package org.ragwortlever.daemon.role

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import org.ragwortlever.core.fleet.FleetKeys
import org.ragwortlever.core.fleet.FleetRecord
import org.ragwortlever.core.lease.HeldLease
import org.ragwortlever.core.rollout.RolloutRecord
import org.ragwortlever.core.store.Condition
import org.ragwortlever.core.store.Transaction
import org.ragwortlever.core.store.TransactionResult
import org.ragwortlever.core.store.Write
import org.ragwortlever.daemon.platform.KeyValueStore

/** The record of a roll-out in the store, last changed at [revision]; 0 if there is none. */
internal data class StoredRollout(
    val record: RolloutRecord?,
    val revision: Long,
)

/** @param statusEntry the store entry that tells the operators how a roll-out stands. */
internal class RolloutStore(
    private val store: KeyValueStore,
    private val lease: RoleLease,
    private val statusEntry: (RolloutRecord) -> Write.Put,
) {
    /** Reads the record of [service]; null if the store does not answer. */
    fun read(service: String): StoredRollout? {
        val key = FleetKeys.rollout(service)
        val entry = store.read(key).getOrElse { return null }.entries.firstOrNull() ?: return StoredRollout(null, 0)
        val record = (FleetKeys.decode(key, entry.value) as? FleetRecord.RolloutDecided)?.record
        return StoredRollout(record, entry.modifyRevision)
    }

    /**
     * Writes [record] and its status in place of [before], if this VM still holds [held]. Returns whether they were written;
     * false also if that is not known.
     */
    fun write(
        record: RolloutRecord,
        before: StoredRollout,
        held: HeldLease,
    ): Boolean {
        val entry = Write.Put(FleetKeys.rollout(record.service), record.encode())
        return commit(record.service, before, held, listOf(entry, statusEntry(record)))
    }

    /** Removes the record of [service] in place of [before]. */
    fun remove(
        service: String,
        before: StoredRollout,
        held: HeldLease,
    ): Boolean = commit(service, before, held, listOf(Write.Delete(FleetKeys.rollout(service))))

    private fun commit(
        service: String,
        before: StoredRollout,
        held: HeldLease,
        writes: List<Write>,
    ): Boolean {
        if (!lease.isSafeToSend(held.fencing)) return false
        val key = FleetKeys.rollout(service)
        val unchanged = if (before.revision == 0L) Condition.Absent(key) else Condition.ModifiedAt(key, before.revision)
        val transaction = Transaction(listOf(Condition.CreatedAt(held.key, held.fencing), unchanged), writes)
        return store.commit(transaction).get() is TransactionResult.Committed
    }
}
