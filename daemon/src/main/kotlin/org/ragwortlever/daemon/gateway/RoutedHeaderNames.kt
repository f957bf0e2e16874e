/*
 * Names of the headers that callers, entry VMs and backend servers exchange on routed requests, and the rules by which
 * headers are forwarded. A deployment may use other names; the rules stay the same.
 */
package org.ragwortlever.daemon.gateway

import org.http4k.core.Headers

/**
 * Names of the headers on routed requests and their responses.
 *
 * @property requestId id of the request; servers repeat it in their responses.
 * @property deadlineMilliseconds how long the sender waits for the response, in milliseconds.
 * @property account client account of the request's key; sent to the server.
 * @property priority priority of the request at a model engine; 0 is the highest.
 * @property expectedServer id of the intended server; another server at the same address refuses the request.
 * @property promptParts parts of the prompt as `id:tokens`, separated by commas.
 * @property tokenCount tokens of the prompt and maximum tokens of the response, separated by a comma.
 * @property lastEventId id of the last event that the caller has received of a stream.
 * @property signature the server's signature, which shows that the response is its own.
 * @property notRun present on a response if the server did not run the request.
 * @property leaving `1` on a response if the server is shutting down and accepts no new requests.
 * @property requestLimit on a response, the requests per second that the server takes from all entry VMs together.
 * @property keyScheme scheme of the `Authorization` header that carries a key.
 * @property reserved further headers that callers may not send to a server.
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
    val requestLimit: String = "X-Request-Limit",
    val keyScheme: String = "Bearer",
    val reserved: Set<String> = emptySet(),
) {
    private val setByRouter =
        (listOf(deadlineMilliseconds, account, priority, expectedServer, "Authorization") + reserved).mapTo(HashSet()) { it.lowercase() }

    /** Returns the caller's headers without hop-by-hop headers and without those that only entry VMs may set. */
    fun filterRequestHeaders(headers: Headers): Headers {
        val hopByHopHeaders = headers.hopByHopHeaders()
        return headers.filter { (name, _) -> name.lowercase().let { it !in hopByHopHeaders && it !in setByRouter } }
    }

    /** Returns the server's headers without hop-by-hop headers. */
    fun filterResponseHeaders(headers: Headers): Headers {
        val hopByHopHeaders = headers.hopByHopHeaders()
        return headers.filter { (name, _) -> name.lowercase() !in hopByHopHeaders }
    }
}

/** Lower-case names of the hop-by-hop headers, including those that the `Connection` header names. */
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
