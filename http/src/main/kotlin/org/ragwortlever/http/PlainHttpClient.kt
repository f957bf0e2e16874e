// Clients for unencrypted HTTP/1.1, which all ragwortlever processes and backend servers use.
package org.ragwortlever.http

import okhttp3.ConnectionSpec
import okhttp3.OkHttpClient
import okhttp3.Protocol

/**
 * Returns a builder for clients without TLS that reject malformed responses. Loading unused certificates would take a good
 * part of a process's start.
 *
 * A socket factory that replaces the default one has to be an [UnconnectedSocketFactory].
 */
fun plainHttpClient(): OkHttpClient.Builder =
    OkHttpClient
        .Builder()
        .protocols(listOf(Protocol.HTTP_1_1))
        .connectionSpecs(listOf(ConnectionSpec.CLEARTEXT))
        .socketFactory(UnconnectedSocketFactory {})
        .addNetworkInterceptor(ResponseHeadCheck)
