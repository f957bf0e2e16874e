/*
 * The decider's side of the pool protocol. Keeps the open attempts that other VMs reported in the states of the
 * servers, next to this VM's own attempts, and answers the questions of other VMs and of this VM.
 */
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.backend.ServerFailure
import org.ragwortlever.core.backend.ServerNotice
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Not thread-safe. */
internal class PoolDecider(
    private val pool: ServerPool,
    private val quarantine: ContentQuarantine = ContentQuarantine(),
) {
    private class NodeWork(
        val sequence: Long,
        val at: Instant,
        val attempts: List<ReportedAttempt>,
        val advised: Map<Long, Advised>,
    ) {
        val all: List<ReportedAttempt> get() = attempts + advised.values.map { it.attempt }
    }

    /** An answer that the asking VM may not have received yet, and the attempt that will follow from it. */
    private class Advised(
        val advice: PoolAdvice,
        val attempt: ReportedAttempt,
    )

    private data class Source(
        val node: String,
        val service: String,
    )

    private val workBySource = HashMap<Source, NodeWork>()
    private val admission = Admission(pool)

    /** Applies [report]; an outdated one only adds its ends and notices. */
    fun applyReport(
        report: PoolReport,
        now: Instant,
    ) {
        report.ends.forEach { recordEnd(it, now) }
        quarantine.apply(report, now)
        quarantine.decide(report.service, now)
        report.notices.forEach { pool.recordNotice(it.server, it.incarnation, it.toNotice(), now) }
        val source = Source(report.node, report.service)
        val before = workBySource[source]
        if (before != null && before.sequence >= report.sequence) return
        // Only once per report, because the limits hand over shares.
        report.limits.forEach { pool.limits.merge(it, now) }
        admission.queue.retainOnly(report.node, report.service, report.pending)
        val advised = before?.advised.orEmpty().filterKeys { it in report.pending }
        replace(source, NodeWork(report.sequence, now, report.attempts, advised))
    }

    /** Answers the [question] of another VM and tells it the request limits of the servers. */
    fun reply(
        question: PoolQuestion,
        now: Instant,
    ): PoolReply {
        val service = question.report.service
        return PoolReply(answer(question, now), pool.reportLimits(service, now), quarantine.reportQuarantined(service, now))
    }

    private fun recordEnd(
        end: ReportedEnd,
        now: Instant,
    ) {
        val server = pool.find(end.server) ?: return
        if (end.failure == ServerFailure.UNREACHABLE) quarantine.recordProcessGone(server, now)
        server.recordEnd(end.failure, now)
    }

    /** Answers the [question] of another VM. */
    fun answer(
        question: PoolQuestion,
        now: Instant,
    ): PoolAnswer {
        applyReport(question.report, now)
        forgetExpired(now)
        val source = Source(question.report.node, question.report.service)
        // The previous answer to this question was lost.
        workBySource.getValue(source).advised[question.number]?.let { return PoolAnswer.Advised(it.advice) }
        val answer = answerLocal(question, now)
        if (answer is PoolAnswer.Advised) recordAdvice(source, question, answer.advice)
        return answer
    }

    /** Answers a question of this VM, whose attempts are already part of the servers' states. */
    fun answerLocal(
        question: PoolQuestion,
        now: Instant,
    ): PoolAnswer {
        if (quarantine.findQuarantined(question.report.service, question.partIds, now) != null) {
            admission.queue.remove(question.report.node, question.number)
            return PoolAnswer.Quarantined
        }
        return when (val decision = admission.decide(question, now)) {
            is AdmissionDecision.Admit -> advise(question, decision.score, now)
            is AdmissionDecision.Wait -> PoolAnswer.Wait(decision.delay.inWholeMilliseconds)
            is AdmissionDecision.Refuse -> PoolAnswer.Refused(decision.retryAfter.inWholeMilliseconds)
            AdmissionDecision.NoServer -> PoolAnswer.NoServer
        }
    }

    private fun advise(
        question: PoolQuestion,
        score: ServerScore,
        now: Instant,
    ): PoolAnswer {
        val server = score.server.known.server
        score.server.recordSent(question.parts, question.engineTokens.takeIf { it > 0 }, now)
        pool.limits.take(server)
        return PoolAnswer.Advised(score.toAdvice(pool.limits.limitOf(server)))
    }

    /** Removes the request [number] of [node], a VM that decides for itself, from the queue. */
    fun withdraw(
        node: String,
        number: Long,
    ) = admission.queue.remove(node, number)

    private fun recordAdvice(
        source: Source,
        question: PoolQuestion,
        advice: PoolAdvice,
    ) {
        val work = workBySource.getValue(source)
        val held = question.promptTokens + question.outputTokens
        val attempt = ReportedAttempt(advice.server, advice.uncachedTokens, held, question.tier, question.outputTokens)
        replace(source, NodeWork(work.sequence, work.at, work.attempts, work.advised + (question.number to Advised(advice, attempt))))
    }

    /** Discards the reports of VMs that are not in [nodes]. */
    fun retainOnly(nodes: Set<String>) = workBySource.keys.filter { it.node !in nodes }.forEach(::forget)

    private fun forgetExpired(now: Instant) = workBySource.filterValues { now - it.at > REPORT_LIFETIME }.keys.forEach(::forget)

    private fun forget(source: Source) {
        workBySource.remove(source)?.all?.forEach { pool.find(it.server)?.remoteLoads?.remove(source.node) }
    }

    private fun replace(
        source: Source,
        work: NodeWork,
    ) {
        forget(source)
        workBySource[source] = work
        work.all.groupBy { it.server }.forEach { (server, attempts) ->
            pool.find(server)?.remoteLoads?.put(source.node, RemoteLoad(attempts, work.at))
        }
    }

    private companion object {
        // Longer than nearly all answers take; a VM reports whenever one of its attempts gets its first byte or ends.
        val REPORT_LIFETIME: Duration = 15.seconds
    }
}

private fun ServerState.recordEnd(
    failure: ServerFailure?,
    now: Instant,
) {
    if (failure != null) return recordFailure(failure, now)
    health.recordSuccess(now)
    recordResponse(now)
}

/** @param limit request limit of the server, in requests per second; null when it has none. */
private fun ServerScore.toAdvice(limit: Double?): PoolAdvice {
    val reason = "score=%.3f".format(seconds) + limit?.let { " limit=$it" }.orEmpty()
    return PoolAdvice(server.id, server.known.server.incarnation, uncachedTokens, reason)
}

private fun ReportedNotice.toNotice() = ServerNotice(isLeaving, quietMilliseconds.takeIf { it > 0 }?.milliseconds)
