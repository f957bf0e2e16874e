package org.ragwortlever.cli

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** `keys withdraw ID`: marks a key as withdrawn. Its entry is kept, so that the id is not reused. */
internal class KeysWithdraw : OperatorCommand("withdraw") {
    private val keyId by argument(help = "Id of the key")
    private val author by authorOption()

    override fun help(context: Context): String = "Withdraws a key; every entry VM rejects it within 5 seconds."

    override fun run() {
        changeSection("keys", author) { keys ->
            val entry = keys[keyId] as? JsonObject ?: fail("key $keyId does not exist; keys list prints the ids", ExitCode.FAILURE)
            keys + (keyId to JsonObject(entry + ("withdrawn" to JsonPrimitive(true))))
        }
        echo("withdrawn: $keyId")
    }
}
