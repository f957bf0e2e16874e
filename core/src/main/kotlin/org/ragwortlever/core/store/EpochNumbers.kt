/*
 * Revisions and lease ids across the epochs of the store. A store that comes back from an older copy gives out the same
 * numbers again, so a number alone does not name a state or a lease. Inside the product each number therefore contains the
 * epoch in which it was given out, in its upper bits. Revisions of a later epoch are higher than all of an earlier one.
 * Numbers of epoch 0 are those of the store, unchanged.
 */
package org.ragwortlever.core.store

private const val REVISION_BITS = 40
private const val MAXIMUM_REVISION = (1L shl REVISION_BITS) - 1
internal const val MAXIMUM_EPOCH = (1L shl (Long.SIZE_BITS - 1 - REVISION_BITS)) - 1

// A store may choose the ids of leases at random, up to the largest integer that is exact as a JSON number.
private const val LEASE_BITS = 53
private const val MAXIMUM_LEASE = (1L shl LEASE_BITS) - 1
private const val LEASE_EPOCHS = 1L shl (Long.SIZE_BITS - 1 - LEASE_BITS)

/**
 * Returns [revision] that the store gave out in [epoch], with its epoch. 0 names no state in any epoch and stays 0. Throws
 * [IllegalArgumentException] if the epoch or the revision is out of range.
 */
fun revisionInEpoch(
    epoch: Long,
    revision: Long,
): Long {
    require(epoch in 0..MAXIMUM_EPOCH) { "epoch $epoch of the store is not between 0 and $MAXIMUM_EPOCH" }
    require(revision in 0..MAXIMUM_REVISION) { "revision $revision of the store is not between 0 and $MAXIMUM_REVISION" }
    return if (revision == 0L) 0 else (epoch shl REVISION_BITS) or revision
}

/** Returns the epoch in which [revision] was given out. */
fun epochOf(revision: Long): Long = revision shr REVISION_BITS

/** Returns [revision] as the store itself knows it. */
fun revisionInStore(revision: Long): Long = revision and MAXIMUM_REVISION

/**
 * Returns the lease [id] that the store gave out in [epoch], with the lowest bits of its epoch, which tell it from all leases
 * that can still be known. 0 is no lease and stays 0. Throws [IllegalArgumentException] if the id is out of range.
 */
fun leaseInEpoch(
    epoch: Long,
    id: Long,
): Long {
    require(id in 0..MAXIMUM_LEASE) { "lease $id of the store is not between 0 and $MAXIMUM_LEASE" }
    return if (id == 0L) 0 else ((epoch % LEASE_EPOCHS) shl LEASE_BITS) or id
}

/** Returns whether [lease] was given out in [epoch]. */
fun isLeaseOf(
    epoch: Long,
    lease: Long,
): Boolean = lease shr LEASE_BITS == epoch % LEASE_EPOCHS

/** Returns [lease] as the store itself knows it. */
fun leaseInStore(lease: Long): Long = lease and MAXIMUM_LEASE
