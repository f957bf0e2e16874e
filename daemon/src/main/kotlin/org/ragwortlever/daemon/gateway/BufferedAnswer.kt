// The whole content of a server's response, with the memory that it holds until it has been passed on.
package org.ragwortlever.daemon.gateway

import okhttp3.Response
import okio.Buffer
import org.http4k.core.Body
import org.ragwortlever.http.readUpTo
import java.io.FilterInputStream
import java.io.IOException

/** Content that holds memory until it is closed, or until the body that [toBody] returns is. */
internal class BufferedAnswer private constructor(
    private val content: Buffer,
    private val reservation: ResponseMemory.Reservation,
) : AutoCloseable {
    /** Returns the content as the body of a response to the caller, which can be read once. */
    fun toBody(): Body = Body(ClosingStream(), content.size)

    override fun close() = reservation.close()

    private inner class ClosingStream : FilterInputStream(content.inputStream()) {
        override fun close() = this@BufferedAnswer.close()
    }

    companion object {
        /**
         * Reads the whole body of [response].
         *
         * @throws IOException if the response breaks off, is malformed, or exceeds a limit.
         */
        fun read(
            response: Response,
            memory: ResponseMemory,
        ): BufferedAnswer {
            val reservation = memory.open()
            try {
                val content = response.body.readUpTo(MAX_ANSWER_BYTES, reservation::growTo)
                response.checkContent(content)
                return BufferedAnswer(content, reservation)
            } catch (failure: IOException) {
                reservation.close()
                throw failure
            }
        }
    }
}
