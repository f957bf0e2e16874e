package org.ragwortlever.cli

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.encodeToJsonElement
import org.ragwortlever.core.configuration.KeyEntry
import org.ragwortlever.core.key.KEY_BYTES
import org.ragwortlever.core.key.formatKey
import org.ragwortlever.core.key.hashKey
import java.security.SecureRandom
import java.util.UUID

/** `keys create ACCOUNT`: creates a key and prints it once; the configuration stores only its hash. */
internal class KeysCreate : OperatorCommand("create") {
    private val account by argument(help = "Client account that the key is for")
    private val keyId by option("--id", help = "Id of the key in the configuration; generated if omitted")
    private val author by authorOption()

    override fun help(context: Context): String =
        """
        Creates a key for a client account and prints it once.

        Example: ragwortlever keys create gilders --id gilders-2
        """.trimIndent()

    override fun run() {
        val key = formatKey(ByteArray(KEY_BYTES).also(SecureRandom()::nextBytes))
        val id = keyId ?: "$account-${UUID.randomUUID()}"
        changeSection("keys", author) { keys ->
            if (id in keys) fail("key $id already exists; choose another --id", ExitCode.FAILURE)
            keys + (id to Json.encodeToJsonElement(KeyEntry(account, hashKey(key))))
        }
        echo(key)
    }
}
