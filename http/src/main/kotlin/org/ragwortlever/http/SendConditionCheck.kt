/*
 * Checks immediately before the first byte of a request whether it may still be sent. From the decision to that moment a
 * VM may wait for a thread, for a connection or for the processor, and the server may have left meanwhile.
 */
package org.ragwortlever.http

import okhttp3.Interceptor
import okhttp3.Request
import okhttp3.Response
import java.io.IOException

/** The condition for a send no longer holds; nothing of the request was sent. */
class SendConditionException : IOException("the server may not get the request any more")

/** @param isMet whether the request may be sent now; called on the thread that sends. */
class SendCondition(
    internal val isMet: () -> Boolean,
) {
    /** Attaches this condition to the send that [builder] describes. */
    fun attachTo(builder: Request.Builder): Request.Builder = builder.tag(SendCondition::class.java, this)
}

/** A network interceptor that throws [SendConditionException] instead of sending a request whose [SendCondition] is not met. */
object SendConditionCheck : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val condition = chain.request().tag(SendCondition::class.java)
        if (condition?.isMet?.invoke() == false) throw SendConditionException()
        return chain.proceed(chain.request())
    }
}
