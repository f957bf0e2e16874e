package org.ragwortlever.core.error

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText

class ErrorTableTest {
    // Guards against documentation of error kinds or statuses that differ from those in the code.
    @Test
    fun `given the closed list of kinds, when it is rendered, then it equals the page in docs`() {
        val page = Path.of("..", "docs", "errors.md")
        if (System.getProperty("render") == "true") page.writeText(renderErrorTable())
        expectThat(page.readText()).isEqualTo(renderErrorTable())
    }

    @Test
    fun `given all kinds, when their codes are compared, then no two are equal`() {
        expectThat(ErrorKind.entries.map { it.code }.distinct().size).isEqualTo(ErrorKind.entries.size)
    }
}
