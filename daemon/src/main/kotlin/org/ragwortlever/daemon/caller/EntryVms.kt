// `GET /v1/entry-vms`: the entry VMs that a caller should connect to, in order of preference.
package org.ragwortlever.daemon.caller

import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.http4k.core.Response
import org.http4k.core.Status
import org.ragwortlever.core.membership.Member

@Serializable
internal data class EntryVm(
    val id: String,
    val url: String,
    val zone: String,
)

@Serializable
internal data class EntryVmList(
    val entryVms: List<EntryVm>,
)

/** Returns the response that lists [members] in the given order; callers may cache it for [maxAgeSeconds]. */
internal fun entryVmsResponse(
    members: List<Member>,
    maxAgeSeconds: Int,
): Response =
    Response(Status.OK)
        .header("Content-Type", "application/json")
        .header("Cache-Control", "max-age=$maxAgeSeconds")
        .body(Json.encodeToString(EntryVmList(members.map { EntryVm(it.id, "http://${it.address}:${it.callerPort}", it.zone) })))
