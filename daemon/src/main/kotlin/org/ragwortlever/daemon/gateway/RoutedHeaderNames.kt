/*
 * The headers that callers, this system and backend servers exchange on routed requests, and which of them pass on.
 * A deployment may name them otherwise; the rules are the same.
 */
package org.ragwortlever.daemon.gateway

import org.http4k.core.Headers

/**
 * Names of the headers.
 *
 * @property requestId identifies a request; servers repeat it in their answers.
 * @property deadlineMilliseconds how long the sender waits for the answer, in milliseconds.
 * @property account client account of the request's key, for the server.
 * @property priority rank of the request at a model engine; 0 is the highest.
 * @property expectedServer id of the server that is meant; another server at the address refuses the request.
 * @property promptParts parts of the prompt as `id:tokens`, with commas between.
 * @property tokenCount tokens of the prompt and most tokens of the answer, with a comma between.
 * @property lastEventId last event of a stream that has arrived.
 * @property signature a server's proof that an answer is its own.
 * @property notRun set on an answer when the server did not run the request.
 * @property leaving set on an answer when the server stops and takes no new requests.
 * @property keyScheme scheme of the `Authorization` header that carries a key.
 * @property reserved further headers that only this system may set for a server.
 */
data class RoutedHeaderNames(
    val requestId: String = "X-Request-Id",
    val deadlineMilliseconds: String = "X-Deadline-Milliseconds",
    val account: String = "X-Account",
    val priority: String = "X-Priority",
    val expectedServer: String = "X-Expected-Server",
    val promptParts: String = "X-Prompt-Parts",
    val tokenCount: String = "X-Token-Count",
    val lastEventId: String = "Last-Event-ID",
    val signature: String = "X-Answer-Signature",
    val notRun: String = "X-Not-Run",
    val leaving: String = "X-Server-Leaving",
    val keyScheme: String = "Bearer",
    val reserved: Set<String> = emptySet(),
) {
    private val setByRouter =
        (listOf(deadlineMilliseconds, account, priority, expectedServer, "Authorization") + reserved).mapTo(HashSet()) { it.lowercase() }

    /** The caller's headers that a server may see: none of one connection only and none that this system sets. */
    fun filterRequestHeaders(headers: Headers): Headers {
        val hopByHopHeaders = headers.hopByHopHeaders()
        return headers.filter { (name, _) -> name.lowercase().let { it !in hopByHopHeaders && it !in setByRouter } }
    }

    /** The server's headers that the caller gets. */
    fun filterResponseHeaders(headers: Headers): Headers {
        val hopByHopHeaders = headers.hopByHopHeaders()
        return headers.filter { (name, _) -> name.lowercase() !in hopByHopHeaders }
    }
}

/** Lower-case names of the headers that concern one connection only, those that `Connection` names included. */
private fun Headers.hopByHopHeaders(): Set<String> {
    val named = filter { it.first.equals("Connection", ignoreCase = true) }.flatMap { it.second.orEmpty().split(',') }
    return HOP_BY_HOP_HEADERS + named.map { it.trim().lowercase() }
}

private val HOP_BY_HOP_HEADERS =
    setOf(
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
