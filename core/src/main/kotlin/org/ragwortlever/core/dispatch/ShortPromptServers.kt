/*
 * Divides the model engines of a service between long and short prompts. An engine reads prompts in large chunks
 * between the tokens of running answers, so a few long prompts in a row stall every answer on it for longer than
 * callers of a live conversation accept. All entry VMs see the same servers and make the same division.
 */
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.membership.inRendezvousOrder
import org.ragwortlever.core.membership.rendezvousWeight
import kotlin.math.roundToInt

/** Ids of the servers among [servers] that are kept for short prompts; empty when there are too few to divide. */
internal fun serversForShortPrompts(
    service: String,
    servers: Collection<ServerState>,
): Set<String> {
    if (servers.size < MIN_SERVERS_TO_DIVIDE) return emptySet()
    val count = maxOf(1, (servers.size * SHORT_PROMPT_FRACTION).roundToInt())
    // One of each zone before the second of any, so that the loss of a zone does not take them all.
    return servers
        .groupBy { it.zone }
        .values
        .flatMap { zone -> zone.inRendezvousOrder(service) { it.id }.withIndex() }
        .sortedWith(compareBy({ it.index }, { -rendezvousWeight(service, it.value.zone) }))
        .take(count)
        .mapTo(HashSet()) { it.value.id }
}

/** Whether a prompt of [promptTokens] takes an engine so long to read that answers beside it stall. */
internal fun isLong(promptTokens: Int): Boolean = promptTokens >= LONG_PROMPT_TOKENS

// About an eighth of a second of reading; a live conversation bears a few of these in a row.
private const val LONG_PROMPT_TOKENS = 4500
private const val MIN_SERVERS_TO_DIVIDE = 3
private const val SHORT_PROMPT_FRACTION = 0.28
