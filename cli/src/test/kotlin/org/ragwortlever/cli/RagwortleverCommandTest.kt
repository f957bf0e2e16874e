package org.ragwortlever.cli

import com.github.ajalt.clikt.testing.test
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import kotlin.io.path.createTempFile
import kotlin.io.path.writeText

class RagwortleverCommandTest {
    @Test
    fun `given an invalid document, when validated, then line and path are printed and the exit code is 1`() {
        val file = createTempFile(suffix = ".jsonc").apply { writeText("{\n  \"zones\": {\"a\": {}}\n}") }
        val result = createCommand().test("config validate $file")
        expectThat(result.statusCode).isEqualTo(1)
        expectThat(result.stderr).contains("line 2: $.zones.a: the field region is missing")
    }

    @Test
    fun `given an unreachable entry VM, when a command calls it, then the exit code is 4`() {
        expectThat(createCommand().test("nodes list --operator http://127.0.0.1:1").statusCode).isEqualTo(4)
    }

    @Test
    fun `given an unknown option, when the command line is parsed, then the exit code is that of a usage error`() {
        expectThat(runCommand(listOf("nodes", "list", "--operater", "x"))).isEqualTo(2)
    }
}
