// Rendezvous hashing: nodes with the same member list select the same members for a key. Adding or removing a member
// only moves the keys of that member.
package org.ragwortlever.core.membership

/** Returns [ids] by descending rendezvous weight for [key]; ties are ordered by id. */
fun rendezvousOrder(
    key: String,
    ids: Collection<String>,
): List<String> = ids.inRendezvousOrder(key) { it }

/** Returns the items by descending rendezvous weight of their [id] for [key]; computes each weight once. */
internal fun <T> Collection<T>.inRendezvousOrder(
    key: String,
    id: (T) -> String,
): List<T> =
    map { Weighted(it, id(it), rendezvousWeight(key, id(it))) }
        .sortedWith(compareByDescending<Weighted<T>> { it.weight }.thenBy { it.id })
        .map { it.item }

private class Weighted<T>(
    val item: T,
    val id: String,
    val weight: Long,
)

/** Returns the first of [ids] in the order of [rendezvousOrder] for [key], or null if [ids] is empty. */
fun rendezvousOwner(
    key: String,
    ids: Collection<String>,
): String? = ids.maxWithOrNull(compareBy<String> { rendezvousWeight(key, it) }.thenByDescending { it })

/** Hashes both strings with FNV-1a and a finalizer, because plain FNV-1a gives similar strings correlated weights. */
internal fun rendezvousWeight(
    key: String,
    id: String,
): Long {
    var hash = FNV_OFFSET
    for (character in key) hash = (hash xor character.code.toLong()) * FNV_PRIME
    hash = (hash xor SEPARATOR) * FNV_PRIME
    for (character in id) hash = (hash xor character.code.toLong()) * FNV_PRIME
    hash = (hash xor (hash ushr 33)) * MIX_1
    hash = (hash xor (hash ushr 33)) * MIX_2
    return hash xor (hash ushr 33)
}

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val SEPARATOR = 0xffL
private const val MIX_1 = -0xae502812aa7333L
private const val MIX_2 = -0x3b314601e57a13adL
