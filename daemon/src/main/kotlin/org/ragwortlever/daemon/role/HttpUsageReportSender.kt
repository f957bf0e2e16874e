// Sends usage reports to the product's own usage-report interface.
package org.ragwortlever.daemon.role

import org.ragwortlever.core.usage.SealedWindow

/** @param platform base URL of the platform's API. */
internal class HttpUsageReportSender(
    private val platform: String,
    private val sender: BoundedSender,
) : UsageReportSender {
    override fun send(
        sealed: SealedWindow,
        fencing: Long,
    ): SendOutcome = sender.put("$platform/usage/v1/windows/${sealed.window}", sealed.encode(), fencing)
}
