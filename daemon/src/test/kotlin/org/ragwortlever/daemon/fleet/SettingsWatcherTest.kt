package org.ragwortlever.daemon.fleet

import com.github.michaelbull.result.get
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.ragwortlever.core.settings.parseFleetSettings
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.File

class SettingsWatcherTest {
    @TempDir
    lateinit var folder: File

    private fun text(store: String) =
        """{"nodeId":"n","address":"10.0.0.1","zone":"a","region":"r","callers":"10.0.0.1:1","readiness":"10.0.0.1:2","entryVms":"10.0.0.1:3","store":"$store"}"""

    @Test
    fun `given a changed file, when it is reloaded, then the new address is used, and an invalid file changes nothing`() {
        val file = File(folder, "settings.jsonc").apply { writeText(text("10.0.0.9:1")) }
        val watcher = SettingsWatcher(file, checkNotNull(parseFleetSettings(file.readText()).get()))
        file.writeText(text("10.0.0.9:2"))
        watcher.reload()
        expectThat(watcher.current.store).isEqualTo("10.0.0.9:2")
        file.writeText(text("nowhere"))
        watcher.reload()
        file.delete()
        watcher.reload()
        expectThat(watcher.current.store).isEqualTo("10.0.0.9:2")
    }
}
