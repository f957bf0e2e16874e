/*
 * What this entry VM knows of prompt parts that crash servers: its own observations, which its reports repeat for some
 * time, those that other VMs report to it as the decider, and the parts that any VM has found.
 */
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.quarantine.CrashingPart
import org.ragwortlever.core.quarantine.CrashingParts
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Not thread-safe. */
internal class ContentQuarantine {
    private class OwnBreak(
        val service: String,
        val process: String,
        val parts: Set<String>,
        val at: Instant,
    )

    private val partsByService = HashMap<String, CrashingParts>()
    private val ownBreaks = ArrayDeque<OwnBreak>()
    private val unannounced = ArrayList<FoundPart>()

    /** Parts that this VM has found by its own observations alone; they bind no other VM. */
    private val foundLocally = HashSet<Pair<String, String>>()

    /** Records that [attempt] of this VM broke off. */
    fun recordBreak(
        attempt: RunningAttempt,
        now: Instant,
    ) {
        val parts = attempt.request.partIds.toSet()
        val own = OwnBreak(attempt.server.known.server.service, attempt.server.incarnationName, parts, now)
        ownBreaks.addLast(own)
        while (ownBreaks.size > MAX_REPORTED_BREAKS) ownBreaks.removeFirst()
        partsOf(own.service).recordBreak(own.process, parts, now)
    }

    /** Records that the process of [server] no longer runs. */
    fun recordProcessGone(
        server: ServerState,
        now: Instant,
    ) = partsOf(server.known.server.service).recordProcessGone(server.incarnationName, now)

    /** Records a complete answer of [service] to a request with [parts], in order. */
    fun recordCompletion(
        service: String,
        parts: List<String>,
        now: Instant,
    ) {
        if (parts.isNotEmpty()) partsOf(service).recordCompletion(parts, now)
    }

    /** Returns a part of [parts] that is quarantined at [service], or null if the request may run. */
    fun findQuarantined(
        service: String,
        parts: List<String>,
        now: Instant,
    ): String? = partsByService[service]?.let { known -> parts.firstOrNull { known.isQuarantined(it, now) } }

    /** Applies the observations of another VM that asks this one as the decider. */
    fun apply(
        report: PoolReport,
        now: Instant,
    ) {
        report.ends.forEach { if (it.failure == null) recordCompletion(report.service, it.parts, now) }
        report.breaks.forEach { apply(report.service, it, now) }
        merge(report.quarantined, now)
    }

    private fun apply(
        service: String,
        observed: ReportedBreak,
        now: Instant,
    ) {
        val at = now - observed.ageMilliseconds.milliseconds
        val parts = partsOf(service)
        observed.sound.forEach { parts.recordEarlierCompletion(it, at - 1.milliseconds) }
        parts.recordBreak(observed.process, observed.parts, at)
        if (observed.isCrash) parts.recordProcessGone(observed.process, at)
    }

    /** Adds parts that other VMs have found. */
    fun merge(
        found: List<QuarantinedPart>,
        now: Instant,
    ) = found.forEach {
        partsOf(it.service).quarantine(it.part, now - it.ageMilliseconds.milliseconds, now)
        foundLocally -= it.service to it.part
    }

    /** Evaluates the evidence on [service], which is the whole fleet's: what is found is to be announced to all VMs. */
    fun decide(
        service: String,
        now: Instant,
    ) {
        findNew(service, now).mapTo(unannounced) { FoundPart(service, it) }
    }

    /** Evaluates what this VM alone has seen of [service]; what is found holds for this VM only. */
    fun decideLocally(
        service: String,
        now: Instant,
    ) {
        findNew(service, now).mapTo(foundLocally) { service to it.part }
    }

    private fun findNew(
        service: String,
        now: Instant,
    ) = partsByService[service]?.findNew(now).orEmpty()

    /** Returns what [decide] has found since the last call. */
    fun takeUnannounced(): List<FoundPart> = unannounced.toList().also { unannounced.clear() }

    /** The recent breaks of this VM's attempts at [service]; repeated in each report, since any report may get lost. */
    fun reportBreaks(
        service: String,
        now: Instant,
    ): List<ReportedBreak> {
        ownBreaks.removeAll { now - it.at > REPORTED_TIME }
        return ownBreaks.filter { it.service == service }.map {
            val known = partsOf(service)
            val sound = it.parts.filterTo(HashSet(), known::hasCompleted)
            ReportedBreak(it.process, (now - it.at).inWholeMilliseconds, known.hasCrashed(it.process), it.parts, sound)
        }
    }

    /** The parts that deciders have quarantined at [service], as far as this VM knows. */
    fun reportQuarantined(
        service: String,
        now: Instant,
    ): List<QuarantinedPart> =
        partsByService[service]
            ?.quarantined(now)
            .orEmpty()
            .filterKeys { service to it !in foundLocally }
            .map { (part, since) -> QuarantinedPart(service, part, (now - since).inWholeMilliseconds) }

    private fun partsOf(service: String) = partsByService.getOrPut(service) { CrashingParts() }

    private companion object {
        // A new decider learns of recent crashes with the first reports; longer repetition would only add bytes.
        val REPORTED_TIME: Duration = 10.seconds
        const val MAX_REPORTED_BREAKS = 16
    }
}

/** A part that crashes the servers of [service], with the evidence. */
internal data class FoundPart(
    val service: String,
    val found: CrashingPart,
)

internal fun FoundPart.toEffect() = DispatchEffect.ReportQuarantine(QuarantinedPart(service, found.part, 0), found.processes)
