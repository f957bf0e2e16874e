// Identity and location of a node.
package org.ragwortlever.core.membership

import kotlinx.serialization.Serializable

/** A node with its availability zone and region. */
@Serializable
data class Peer(
    val id: String,
    val zone: String,
    val region: String,
)
