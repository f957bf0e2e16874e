package org.ragwortlever.core.settings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.map

class SettingsTest {
    @Test
    fun `given settings with comments, when they are parsed, then omitted fields have their defaults`() {
        val text =
            """
            // one entry VM
            {"nodeId": "vm-1", "address": "10.0.0.1", "zone": "a", "region": "r", "platform": "http://10.0.0.9:1", /* last */ "callerPort": 1,}
            """.trimIndent()
        expectThat(parseSettings(text).get()).isNotNull().get { operatorPort }.isEqualTo(9090)
    }

    @Test
    fun `given settings with several faults, when they are parsed, then each fault is reported with line and path`() {
        val text =
            """
            {
              "nodeId": "vm-1", "address": "10.0.0.1", "region": "r", "platform": "http://10.0.0.9:1",
              "callerPort": "8080",
              "http": {"headerByte": 5}
            }
            """.trimIndent()
        expectThat(parseSettings(text).getError())
            .isNotNull()
            .map { it.line to it.path }
            .containsExactlyInAnyOrder(4 to "$.http.headerByte", 1 to "$", 3 to "$.callerPort")
    }
}
