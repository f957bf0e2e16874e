// Client sockets that detect a peer that has lost power: the kernel probes idle connections and closes dead ones.
package org.ragwortlever.http

import jdk.net.ExtendedSocketOptions
import java.net.StandardSocketOptions

/** Creates unconnected sockets with TCP_NODELAY and TCP keep-alive, which detect a dead peer within three seconds. */
object KeepAliveSocketFactory : UnconnectedSocketFactory({
    tcpNoDelay = true
    setOption(StandardSocketOptions.SO_KEEPALIVE, true)
    setOption(ExtendedSocketOptions.TCP_KEEPIDLE, PROBE_INTERVAL_SECONDS)
    setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, PROBE_INTERVAL_SECONDS)
    setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, MAX_UNANSWERED_PROBES)
})

// One second is the shortest time that the kernel accepts. A dead peer is detected after 1 s idle and two probes: 3 s.
private const val PROBE_INTERVAL_SECONDS = 1
private const val MAX_UNANSWERED_PROBES = 2
