// Clients for the plain HTTP/1.1 that all our processes and backend servers speak.
package org.ragwortlever.http

import okhttp3.ConnectionSpec
import okhttp3.OkHttpClient
import okhttp3.Protocol

/** A client without TLS; loading the certificates that it would never use takes a good part of a process's start. */
fun plainHttpClient(): OkHttpClient.Builder =
    OkHttpClient
        .Builder()
        .protocols(listOf(Protocol.HTTP_1_1))
        .connectionSpecs(listOf(ConnectionSpec.CLEARTEXT))
