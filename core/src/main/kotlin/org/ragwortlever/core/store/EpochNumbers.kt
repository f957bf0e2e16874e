/*
 * Revisions and lease ids across the epochs of the store. A store that comes back from an older copy gives out the same
 * numbers again, so a number alone does not name a state of the store. Inside the product each number therefore contains
 * the epoch in which it was given out, in its upper bits: numbers of a later epoch are higher than all of an earlier one,
 * and no number is used twice. Numbers of epoch 0 are those of the store, unchanged.
 */
package org.ragwortlever.core.store

private const val NUMBER_BITS = 40
private const val MAXIMUM_NUMBER = (1L shl NUMBER_BITS) - 1
internal const val MAXIMUM_EPOCH = (1L shl (Long.SIZE_BITS - 1 - NUMBER_BITS)) - 1

/**
 * Returns [number], a revision or lease id that the store gave out in [epoch], with its epoch. 0 names no state or lease in
 * any epoch and stays 0. Throws [IllegalArgumentException] if the epoch or the number is out of range.
 */
fun numberInEpoch(
    epoch: Long,
    number: Long,
): Long {
    require(epoch in 0..MAXIMUM_EPOCH) { "epoch $epoch of the store is not between 0 and $MAXIMUM_EPOCH" }
    require(number in 0..MAXIMUM_NUMBER) { "number $number of the store is not between 0 and $MAXIMUM_NUMBER" }
    return if (number == 0L) 0 else (epoch shl NUMBER_BITS) or number
}

/** Returns the epoch in which [number] was given out. */
fun epochOf(number: Long): Long = number shr NUMBER_BITS

/** Returns [number] as the store itself knows it. */
fun numberInStore(number: Long): Long = number and MAXIMUM_NUMBER
