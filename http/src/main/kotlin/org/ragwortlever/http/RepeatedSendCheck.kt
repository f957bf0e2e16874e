/*
 * Keeps a request from being sent twice on one connection. All sends of a request carry the same id, so on one connection
 * a late copy of the response to the first send could not be told from the response to the second.
 */
package org.ragwortlever.http

import okhttp3.Connection
import okhttp3.Interceptor
import okhttp3.Request
import okhttp3.Response
import java.util.concurrent.ConcurrentHashMap

/** The connections that one request has been sent on. Thread-safe. */
class UsedConnections {
    private val connections = ConcurrentHashMap.newKeySet<Connection>()

    /** Attaches this record to the send that [builder] describes. */
    fun attachTo(builder: Request.Builder): Request.Builder = builder.tag(UsedConnections::class.java, this)

    /** Records [connection] and returns whether it is new. */
    internal fun add(connection: Connection): Boolean = connections.add(connection)
}

/**
 * A network interceptor that throws [StaleConnectionException] instead of sending a request on a connection that is among
 * its [UsedConnections].
 */
object RepeatedSendCheck : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val used = chain.request().tag(UsedConnections::class.java)
        val isNew = chain.connection()?.let { used?.add(it) } ?: true
        if (!isNew) throw StaleConnectionException("the request was sent on the connection before")
        return chain.proceed(chain.request())
    }
}
