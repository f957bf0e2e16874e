/*
 * A client socket that passes on only bytes that are part of a response, within limits on what lies between the parts
 * of a body. Bytes after a response stay unread, and the connection is then unusable for another request. The end of the
 * connection is passed on only if sending has not failed: the operating system reports a reset once, to a write or to a
 * read, and after a write every further read ends as if the server had closed the connection.
 */
package org.ragwortlever.http

import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.Socket

/** A socket whose [getInputStream] checks the framing of responses and whether the connection ended in order. */
internal class FramedSocket : Socket() {
    private val framing = ResponseFraming()

    /** The first failure of a write; null if none has failed. */
    @Volatile
    private var sendFailure: IOException? = null

    /**
     * Expects the response to a request with this [method], which is sent next.
     *
     * @throws StaleConnectionException if the bytes before it show that the connection can't be used any more.
     */
    fun beginResponse(method: String) {
        framing.fault?.let { throw StaleConnectionException(it.message.orEmpty()) }
        if (!framing.isComplete) throw StaleConnectionException("the last response has not ended")
        framing.beginResponse(method)
    }

    override fun getInputStream(): InputStream = FramedInputStream(super.getInputStream())

    override fun getOutputStream(): OutputStream = RecordingOutputStream(super.getOutputStream())

    private inner class FramedInputStream(
        private val source: InputStream,
    ) : InputStream() {
        override fun read(): Int {
            val single = ByteArray(1)
            return if (read(single, 0, 1) < 0) -1 else single[0].toInt() and BYTE_MASK
        }

        override fun read(
            target: ByteArray,
            offset: Int,
            length: Int,
        ): Int {
            framing.fault?.let { throw it }
            val count = source.read(target, offset, length)
            if (count < 0) checkEnd()
            if (count <= 0) return count
            val accepted = framing.accept(target, offset, count)
            // The reader gets what came before a fault, and the fault with its next read.
            return if (accepted > 0) accepted else throw checkNotNull(framing.fault)
        }

        override fun available(): Int = source.available()

        override fun close() = source.close()

        private fun checkEnd() {
            sendFailure?.let { throw IOException("the connection failed while the request was being sent: ${it.message}") }
        }
    }

    private inner class RecordingOutputStream(
        private val target: OutputStream,
    ) : OutputStream() {
        override fun write(byte: Int) = write(byteArrayOf(byte.toByte()))

        override fun write(
            bytes: ByteArray,
            offset: Int,
            length: Int,
        ) = try {
            target.write(bytes, offset, length)
        } catch (failure: IOException) {
            if (sendFailure == null) sendFailure = failure
            throw failure
        }

        override fun flush() = target.flush()

        override fun close() = target.close()
    }

    private companion object {
        const val BYTE_MASK = 0xff
    }
}
