// Turns the settings of the callers' side into the limits of the HTTP server.
package org.ragwortlever.daemon

import org.ragwortlever.core.settings.HttpSettings
import org.ragwortlever.http.HttpLimits

internal fun HttpSettings.limits() =
    HttpLimits(
        maxHeaderBytes = headerBytes,
        maxBodyBytes = bodyBytes,
        idleTimeoutMilliseconds = idleSeconds * 1000,
        workerThreads = workerThreads,
    )
