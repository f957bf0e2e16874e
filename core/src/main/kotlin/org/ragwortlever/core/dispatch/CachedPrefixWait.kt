/*
 * Weighs what a cached prefix saves against the wait for the server that holds it. Both are counted in seconds of callers'
 * time: the difference of two scores is what the better server saves, to this request and to those that its reading would
 * delay.
 */
package org.ragwortlever.core.dispatch

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Whether a request is sent to the server of [score], which can start it now, rather than wait on for the server of [best],
 * which can't.
 *
 * @param waited how long the request has waited.
 * @param timeToTarget time left until the first token is late; negative when it already is.
 */
internal fun isWorthSending(
    score: ServerScore,
    best: ServerScore,
    waited: Duration,
    timeToTarget: Duration,
): Boolean {
    if (score === best || score.uncachedTokens <= best.uncachedTokens) return true
    val saved = (score.seconds - best.seconds).seconds
    // At most half of what the target leaves is spent on waiting; the server may turn out to be slower than expected.
    val affordable = timeToTarget - estimatePrefillTime(score.uncachedTokens)
    return waited >= minOf(saved, affordable)
}

/** Time that an idle model engine needs for the prefill of [tokens]. */
internal fun estimatePrefillTime(tokens: Int): Duration = (tokens / PREFILL_TOKENS_PER_SECOND).seconds
