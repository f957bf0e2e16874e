// Determines the client account and request class of a request. The API key itself is not passed on from here.
package org.ragwortlever.daemon.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import org.http4k.core.Request
import org.ragwortlever.core.configuration.ConfigurationSnapshot
import org.ragwortlever.core.error.ErrorKind
import org.ragwortlever.core.error.Refusal
import org.ragwortlever.core.key.hashKey

/**
 * Client account and request class of a request.
 *
 * @property keyHash hash of the API key, by which the request is ended if the key is withdrawn; empty on an open route.
 */
internal data class CallerIdentity(
    val account: String,
    val requestClass: String,
    val keyHash: String = "",
)

internal const val CLASS_HEADER = "X-Request-Class"
private const val BEARER = "Bearer "

/**
 * Returns the account of the request's key and the request's class, or why the request is refused.
 *
 * @param serviceClass class for requests without a class header; null for the account's default class.
 */
internal fun ConfigurationSnapshot.identify(
    request: Request,
    serviceClass: String? = null,
): Result<CallerIdentity, Refusal> {
    val account = authenticate(request).getOrElse { return Err(it) }
    val entry = document.accounts.getValue(account)
    val requestClass = request.header(CLASS_HEADER) ?: serviceClass ?: entry.defaultClass
    if (requestClass !in document.classes) {
        return Err(Refusal(ErrorKind.UNKNOWN_CLASS, "header $CLASS_HEADER: unknown class $requestClass"))
    }
    if (requestClass !in entry.classes) {
        return Err(Refusal(ErrorKind.CLASS_NOT_ALLOWED, "header $CLASS_HEADER: account $account may not use class $requestClass"))
    }
    return Ok(CallerIdentity(account, requestClass, hashKey(request.bearerKey().orEmpty())))
}

/** Returns the account of the request's key, or why the request is refused. */
internal fun ConfigurationSnapshot.authenticate(request: Request): Result<String, Refusal> {
    val header =
        request.header("Authorization")
            ?: return Err(Refusal(ErrorKind.MISSING_KEY, "header Authorization: is missing; send the key as a bearer token"))
    if (!header.startsWith(BEARER)) return Err(Refusal(ErrorKind.INVALID_KEY, "header Authorization: must have the form 'Bearer <key>'"))
    val account = accountOfKey(hashKey(request.bearerKey().orEmpty()))
    return account?.let { Ok(it) } ?: Err(Refusal(ErrorKind.INVALID_KEY, "header Authorization: the key is unknown or withdrawn"))
}

private fun Request.bearerKey(): String? = header("Authorization")?.removePrefix(BEARER)?.trim()
