// Lines of the log are written by a thread of their own, which a process that halts would cut off.
package org.ragwortlever.daemon.control

import ch.qos.logback.classic.LoggerContext
import org.slf4j.LoggerFactory

/** Writes what is waiting and ends the log; nothing is logged after it. */
fun flushLogs() {
    (LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
}
