package org.ragwortlever.cli

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Base class of `zones take-out` and `zones bring-back`, which set the state of an availability zone. */
internal abstract class ZonesSetState(
    name: String,
    private val state: String,
) : OperatorCommand(name) {
    private val zone by argument(help = "Availability zone")
    private val author by authorOption()

    override fun run() {
        changeSection("zones", author) { zones ->
            val entry =
                zones[zone] as? JsonObject ?: fail("availability zone $zone does not exist; zones list prints the zones", ExitCode.FAILURE)
            zones + (zone to JsonObject(entry + ("state" to JsonPrimitive(state))))
        }
        echo("$zone: $state")
    }
}

/** `zones take-out ZONE`: takes an availability zone out of service. */
internal class ZonesTakeOut : ZonesSetState("take-out", "taken-out") {
    override fun help(context: Context): String = "Takes an availability zone out of service; it gets no new requests after 5 seconds."
}

/** `zones bring-back ZONE`: brings an availability zone back into service. */
internal class ZonesBringBack : ZonesSetState("bring-back", "in-service") {
    override fun help(context: Context): String = "Brings an availability zone back into service."
}
