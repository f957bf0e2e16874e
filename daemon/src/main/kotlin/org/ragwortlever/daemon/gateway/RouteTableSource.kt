package org.ragwortlever.daemon.gateway

import org.ragwortlever.core.route.RouteTable

/**
 * Where the routes in use come from.
 *
 * @property await returns them, and may wait for the first configuration; null if none has been read.
 * @property known returns them without a wait.
 */
internal class RouteTableSource(
    val await: () -> RouteTable?,
    val known: () -> RouteTable?,
)
