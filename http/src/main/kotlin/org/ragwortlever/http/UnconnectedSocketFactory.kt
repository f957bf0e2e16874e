// Base class of socket factories for OkHttp, which requests only unconnected sockets and connects them itself.
package org.ragwortlever.http

import java.net.InetAddress
import java.net.Socket
import javax.net.SocketFactory

/**
 * Creates unconnected sockets that check the framing of responses, and applies [prepare] to each. The other functions
 * throw [UnsupportedOperationException].
 */
open class UnconnectedSocketFactory(
    private val prepare: Socket.() -> Unit,
) : SocketFactory() {
    override fun createSocket(): Socket = FramedSocket().apply(prepare)

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

    private fun unsupported(): Nothing = throw UnsupportedOperationException(
        "only unconnected sockets can be created; connect the socket from createSocket()",
    )
}
