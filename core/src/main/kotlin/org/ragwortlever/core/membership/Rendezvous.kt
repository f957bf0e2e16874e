// Rendezvous hashing: every node that knows the same members picks the same ones for a key, and a change of one
// member moves only the keys of that member.
package org.ragwortlever.core.membership

/** The members of [ids] in the order in which [key] prefers them. */
fun rendezvousOrder(
    key: String,
    ids: Collection<String>,
): List<String> = ids.inRendezvousOrder(key) { it }

/** These items in the order in which [key] prefers them by the names that [id] gives; each weight is computed once. */
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

/** The member of [ids] that [key] prefers, or null when there is none. */
fun rendezvousOwner(
    key: String,
    ids: Collection<String>,
): String? = ids.maxWithOrNull(compareBy<String> { rendezvousWeight(key, it) }.thenByDescending { it })

/** FNV-1a over both names with a final mix, because plain FNV-1a leaves the weights of similar names correlated. */
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
