// Client sockets that notice a peer without power: the kernel probes idle connections and gives up after a few seconds.
package org.ragwortlever.http

import jdk.net.ExtendedSocketOptions
import java.net.StandardSocketOptions

/** Makes unconnected sockets with short keep-alive probes. */
object KeepAliveSocketFactory : UnconnectedSocketFactory({
    tcpNoDelay = true
    setOption(StandardSocketOptions.SO_KEEPALIVE, true)
    setOption(ExtendedSocketOptions.TCP_KEEPIDLE, PROBE_INTERVAL_SECONDS)
    setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, PROBE_INTERVAL_SECONDS)
    setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, MAX_UNANSWERED_PROBES)
})

// The shortest times that the kernel takes; a dead peer is found after three seconds.
private const val PROBE_INTERVAL_SECONDS = 1
private const val MAX_UNANSWERED_PROBES = 2
