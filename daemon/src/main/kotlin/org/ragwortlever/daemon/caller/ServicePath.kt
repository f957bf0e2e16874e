// The path of a call to a plain service, checked so that the service cannot read another path in it than the router.
package org.ragwortlever.daemon.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.ragwortlever.core.configuration.PlainService
import org.ragwortlever.core.configuration.Route
import org.ragwortlever.core.error.ErrorKind
import org.ragwortlever.core.error.Refusal
import java.net.URLDecoder

/**
 * A path `/services/{name}/...`.
 *
 * @property subpath the undecoded path subpath the service's name, without the leading slash.
 * @property segments the decoded segments from the service's name on.
 */
internal class ServicePath private constructor(
    val subpath: String,
    private val segments: List<String>,
) {
    val service: String get() = segments.first()

    /** Whether [route] opens this path; it matches whole segments. */
    fun isOpenedBy(route: Route): Boolean {
        val prefix = route.pathPrefix.removePrefix(SERVICES_PREFIX).split('/').filter { it.isNotEmpty() }
        return segments.take(prefix.size) == prefix
    }

    /** Whether [service] lists the call as non-idempotent; empty segments are left out, as many servers do. */
    fun isNonIdempotent(
        service: PlainService,
        method: String,
    ): Boolean {
        val path = segments.drop(1).filter { it.isNotEmpty() }.joinToString("/", prefix = "/")
        return service.nonIdempotent.any { it.method == method && path.startsWith(it.pathPrefix) }
    }

    companion object {
        const val SERVICES_PREFIX = "/services/"

        /** Checks [path], which must not be decoded yet. */
        fun parse(path: String): Result<ServicePath, Refusal> {
            val raw = path.removePrefix(SERVICES_PREFIX).split('/')
            val segments = raw.map { it.decoded() ?: return Err(malformed("has an escape that is not UTF-8")) }
            // Some servers drop what follows a semicolon before they resolve dot segments.
            if (segments.any { it.substringBefore(';') in DOT_SEGMENTS }) return Err(malformed("has a dot segment"))
            if (segments.any { segment -> segment.any { it in SEPARATORS || it.isISOControl() } }) {
                return Err(malformed("has an encoded slash, a backslash or a control character"))
            }
            return Ok(ServicePath(raw.drop(1).joinToString("/"), segments))
        }

        private fun malformed(rule: String) = Refusal(ErrorKind.MALFORMED_REQUEST, "the path $rule")

        private val DOT_SEGMENTS = setOf(".", "..")
        private const val SEPARATORS = "/\\"
    }
}

private fun String.decoded(): String? {
    // URLDecoder reads a plus sign as a blank, which holds for forms and not for paths.
    val text = runCatching { URLDecoder.decode(replace("+", "%2B"), Charsets.UTF_8) }.getOrNull()
    return text?.takeUnless { '\uFFFD' in it }
}
