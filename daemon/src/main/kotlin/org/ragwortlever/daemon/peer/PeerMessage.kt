// Messages between nodes, encoded as CBOR.
@file:OptIn(ExperimentalSerializationApi::class)

package org.ragwortlever.daemon.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.ragwortlever.core.distribution.DistributionMessage
import org.ragwortlever.core.membership.MembershipMessage

/** Message sent by node [from]; one of [membership] and [distribution] is set. */
@Serializable
data class PeerMessage(
    @SerialName("f") val from: String,
    @SerialName("m") val membership: MembershipMessage? = null,
    @SerialName("d") val distribution: DistributionMessage? = null,
) {
    /** Encodes this message as CBOR. */
    fun encode(): ByteArray = CBOR.encodeToByteArray(this)

    companion object {
        private val CBOR =
            Cbor {
                ignoreUnknownKeys = true
                encodeDefaults = false
            }

        /** Decodes CBOR; throws [kotlinx.serialization.SerializationException] or [IllegalArgumentException] on other content. */
        fun decode(bytes: ByteArray): PeerMessage = CBOR.decodeFromByteArray(bytes)
    }
}
