// Converts a routed HTTP request to the form that the dispatcher needs, or refuses it.
package org.ragwortlever.daemon.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import okio.ByteString
import org.http4k.core.Request
import org.ragwortlever.core.dispatch.PromptPart
import org.ragwortlever.core.dispatch.RoutedRequest
import org.ragwortlever.core.error.ErrorKind
import org.ragwortlever.core.error.Refusal
import org.ragwortlever.core.route.AccountDefinition
import org.ragwortlever.core.route.Route
import org.ragwortlever.core.route.RouteTable
import org.ragwortlever.daemon.caller.digestOf
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** A request in the form for the dispatcher and in the form for a backend server. */
internal class PreparedRequest(
    val request: RoutedRequest,
    val outgoing: OutgoingRequest,
)

internal class RoutedRequestParser(
    private val headerNames: RoutedHeaderNames,
) {
    /** Finds route and account of [request] and checks its headers; the refusal names the header or path at fault. */
    fun prepare(
        request: Request,
        body: ByteString,
        table: RouteTable,
        key: Long,
        arrival: Instant,
    ): Result<PreparedRequest, Refusal> {
        val id =
            request.header(headerNames.requestId)?.takeIf { it.isNotBlank() }
                ?: return malformed("header ${headerNames.requestId}: is missing")
        val host = request.header("Host") ?: return malformed("header Host: is missing")
        val path = request.uri.path
        val route = table.match(host, path) ?: return Err(Refusal(ErrorKind.NOT_FOUND, "no route of host $host has a prefix of path $path"))
        val account = findAccount(request, route, table)
        if (account == null && table.requiresKeys &&
            !route.isOpen
        ) {
            return Err(Refusal(ErrorKind.INVALID_KEY, "header Authorization: no client account has this key"))
        }
        val requestedWait = request.header(headerNames.deadlineMilliseconds)?.let {
            it.toLongOrNull()
                ?: return malformed("header ${headerNames.deadlineMilliseconds}: must be an integer number of milliseconds")
        }
        val wait = minOf(route.timeout, requestedWait?.milliseconds ?: route.timeout)
        val splitPosition = (id.hashCode() and Int.MAX_VALUE) / (Int.MAX_VALUE + 1.0)
        val pathAndQuery = path + request.uri.query.let { if (it.isEmpty()) "" else "?$it" }
        val routed =
            RoutedRequest(
                key = key,
                id = id,
                route = route,
                services = table.servicesFor(route, splitPosition),
                account = account?.name,
                tier = table.tierOf(route, account),
                parts = parseParts(request.header(headerNames.promptParts)),
                outputTokens = request.header(headerNames.tokenCount)?.substringAfter(',', "")?.trim()?.toIntOrNull() ?: 0,
                digest = digestOf("${request.method} $pathAndQuery ${account?.name}\n", body),
                deadline = arrival + wait,
            )
        return Ok(PreparedRequest(routed, OutgoingRequest(id, request.method.name, pathAndQuery, request.headers, body)))
    }

    /** Returns the account of the request's key; null if there is no key or no account has it. */
    private fun findAccount(
        request: Request,
        route: Route,
        table: RouteTable,
    ): AccountDefinition? {
        val credentials = request.header("Authorization")?.trim() ?: return null
        if (!credentials.startsWith(headerNames.keyScheme + " ", ignoreCase = true)) return null
        val account = table.accountOf(credentials.substring(headerNames.keyScheme.length + 1).trim())
        return account.takeUnless { route.isOpen && it == null }
    }

    private fun malformed(detail: String) = Err(Refusal(ErrorKind.MALFORMED_REQUEST, detail))
}

/** Parses prompt parts written as `id:tokens,...`. The list ends before the first invalid part, since later parts depend on it. */
internal fun parseParts(text: String?): List<PromptPart> =
    text
        .orEmpty()
        .split(',')
        .map { it.trim().split(':') }
        .takeWhile { it.size == 2 && it[1].toIntOrNull() != null }
        .map { (id, tokens) -> PromptPart(id, tokens.toInt()) }
