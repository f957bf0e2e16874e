// Counts requests until their answers have been handed to the connection, so that a shutdown can wait for them.
package org.ragwortlever.daemon.caller

import org.http4k.core.HttpHandler
import org.http4k.core.Response
import java.io.FilterInputStream
import java.io.InputStream
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

internal class InFlightRequests {
    private val open = AtomicInteger()

    /** Requests whose answers are not complete yet. */
    val count: Int get() = open.get()

    /** [handler] with its requests counted. */
    fun countRequests(handler: HttpHandler): HttpHandler =
        { request ->
            open.incrementAndGet()
            try {
                handler(request).withEndCounted()
            } catch (failure: Throwable) {
                open.decrementAndGet()
                throw failure
            }
        }

    private fun Response.withEndCounted(): Response = body(CountedStream(body.stream), body.length)

    private inner class CountedStream(
        source: InputStream,
    ) : FilterInputStream(source) {
        private val closed = AtomicBoolean()

        override fun close() {
            super.close()
            if (closed.compareAndSet(false, true)) open.decrementAndGet()
        }
    }
}
