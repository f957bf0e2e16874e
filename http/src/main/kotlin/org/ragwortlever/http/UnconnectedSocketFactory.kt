// The base of socket factories for OkHttp, which asks for unconnected sockets only and connects them itself.
package org.ragwortlever.http

import java.net.InetAddress
import java.net.Socket
import javax.net.SocketFactory

/** Makes sockets with [prepare] applied to each. */
open class UnconnectedSocketFactory(
    private val prepare: Socket.() -> Unit,
) : SocketFactory() {
    override fun createSocket(): Socket = Socket().apply(prepare)

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

    private fun unsupported(): Nothing = throw UnsupportedOperationException("OkHttp connects its sockets itself")
}
