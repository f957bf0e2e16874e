// A request's body that has been received in full.
package org.ragwortlever.http

import okio.Buffer
import okio.ByteString
import org.http4k.core.Body
import java.io.InputStream
import java.nio.ByteBuffer

/** Each [stream] reads [content] from its start, without a copy. */
class ReceivedBody(
    val content: ByteString,
) : Body {
    override val stream: InputStream get() = Buffer().write(content).inputStream()
    override val payload: ByteBuffer get() = ByteBuffer.wrap(content.toByteArray())
    override val length: Long = content.size.toLong()

    override fun close() = Unit
}
