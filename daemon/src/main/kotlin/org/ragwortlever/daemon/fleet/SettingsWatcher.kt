package org.ragwortlever.daemon.fleet

import com.github.michaelbull.result.fold
import io.github.oshai.kotlinlogging.KotlinLogging
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.core.settings.FleetSettings
import org.ragwortlever.core.settings.parseFleetSettings
import java.io.File
import java.io.IOException
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Reloads the settings when [file] changes, with or without a signal.
 *
 * If the file can't be read or is invalid, the problem is logged and the previous settings stay in effect. Changed
 * addresses of the platform take effect at their next use; settings that are used only at the start need a restart.
 */
class SettingsWatcher(
    private val file: File,
    initial: FleetSettings,
    private val pollInterval: Duration = 1.seconds,
) : AutoCloseable {
    @Volatile
    private var isClosed = false
    private var lastText: String? = null

    /** The settings in effect. */
    @Volatile
    var current: FleetSettings = initial
        private set

    /** Starts checking the file every [pollInterval] on a daemon thread. */
    fun start() {
        thread(name = "settings", isDaemon = true) {
            while (!isClosed) {
                // Sleeps first: the settings have just been read, and reading them again would only delay the start.
                runCatching { Thread.sleep(pollInterval.inWholeMilliseconds) }
                reload()
            }
        }
    }

    /** Reads the file now and applies its settings if its text has changed. */
    fun reload() {
        val read =
            try {
                file.readText()
            } catch (failure: IOException) {
                logger.warn { eventLine("settings-unreadable", "file" to file, "error" to failure.message) }
                return
            }
        if (read == lastText) return
        lastText = read
        parseFleetSettings(read).fold(
            success = { changed ->
                if (changed != current) logChange(changed)
                current = changed
            },
            failure = { faults -> logger.warn { eventLine("settings-refused", "file" to file, "faults" to faults.joinToString("; ")) } },
        )
    }

    private fun logChange(changed: FleetSettings) =
        logger.info { eventLine("settings-changed", "file" to file, "store" to changed.store, "duties" to changed.duties) }

    override fun close() {
        isClosed = true
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
