// Client sockets that notice a peer without power: the kernel probes idle connections and gives up after a few seconds.
package org.ragwortlever.http

import jdk.net.ExtendedSocketOptions
import java.net.InetAddress
import java.net.Socket
import java.net.StandardSocketOptions
import javax.net.SocketFactory

/** Makes unconnected sockets with short keep-alive probes. */
object KeepAliveSocketFactory : SocketFactory() {
    override fun createSocket(): Socket =
        Socket().apply {
            tcpNoDelay = true
            setOption(StandardSocketOptions.SO_KEEPALIVE, true)
            setOption(ExtendedSocketOptions.TCP_KEEPIDLE, PROBE_SECONDS)
            setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, PROBE_SECONDS)
            setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, PROBES)
        }

    override fun createSocket(
        host: String?,
        port: Int,
    ): Socket = unsupported()

    override fun createSocket(
        host: String?,
        port: Int,
        localHost: InetAddress?,
        localPort: Int,
    ): Socket = unsupported()

    override fun createSocket(
        host: InetAddress?,
        port: Int,
    ): Socket = unsupported()

    override fun createSocket(
        address: InetAddress?,
        port: Int,
        localAddress: InetAddress?,
        localPort: Int,
    ): Socket = unsupported()

    private fun unsupported(): Nothing = throw UnsupportedOperationException("the HTTP library connects its sockets itself")

    // The shortest times that the kernel takes; a dead peer is found after three seconds.
    private const val PROBE_SECONDS = 1
    private const val PROBES = 2
}
