/*
 * The side of the entry VM that decides for others: keeps what they reported of their open attempts in the states of the
 * servers, next to this VM's own, and answers their questions and this VM's own.
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
) {
    private class Work(
        val sequence: Long,
        val at: Instant,
        val attempts: List<ReportedAttempt>,
        val advised: Map<Long, Advised>,
    ) {
        val all: List<ReportedAttempt> get() = attempts + advised.values.map { it.attempt }
    }

    /** An answer that its VM may not have got yet, and the attempt that comes of it. */
    private class Advised(
        val advice: PoolAdvice,
        val attempt: ReportedAttempt,
    )

    private data class Source(
        val node: String,
        val service: String,
    )

    private val works = HashMap<Source, Work>()
    private val admission = Admission(pool)

    fun reported(
        report: PoolReport,
        now: Instant,
    ) {
        report.ends.forEach { end -> pool.find(end.server)?.noteEnd(end.failure, now) }
        report.notices.forEach { pool.noticed(it.server, it.incarnation, it.toNotice(), now) }
        val source = Source(report.node, report.service)
        val before = works[source]
        if (before != null && before.sequence >= report.sequence) return
        admission.queue.keepOnly(report.node, report.service, report.pending)
        val advised = before?.advised.orEmpty().filterKeys { it in report.pending }
        replace(source, Work(report.sequence, now, report.attempts, advised))
    }

    /** The answer to another VM's [question]. */
    fun answer(
        question: PoolQuestion,
        now: Instant,
    ): PoolAnswer {
        reported(question.report, now)
        forgetOld(now)
        val source = Source(question.report.node, question.report.service)
        // The answer to the same question was lost on its way.
        works.getValue(source).advised[question.number]?.let { return PoolAnswer.Advised(it.advice) }
        val answer = answerOwn(question, now)
        if (answer is PoolAnswer.Advised) noteAdvised(source, question, answer.advice)
        return answer
    }

    /** The answer to a question of this VM, whose attempts the servers' states hold themselves. */
    fun answerOwn(
        question: PoolQuestion,
        now: Instant,
    ): PoolAnswer =
        when (val decision = admission.decide(question, now)) {
            is AdmissionDecision.Admit -> PoolAnswer.Advised(decision.score.toAdvice()).also {
                decision.score.server.sent(question.parts, now)
            }
            is AdmissionDecision.Wait -> PoolAnswer.Wait(decision.delay.inWholeMilliseconds)
            is AdmissionDecision.Refuse -> PoolAnswer.Refused(decision.retryAfter.inWholeMilliseconds)
            AdmissionDecision.NoServer -> PoolAnswer.NoServer
        }

    /** The request [number] of [node], a VM that decides for itself, waits no longer. */
    fun withdraw(
        node: String,
        number: Long,
    ) = admission.queue.leave(node, number)

    private fun noteAdvised(
        source: Source,
        question: PoolQuestion,
        advice: PoolAdvice,
    ) {
        val work = works.getValue(source)
        val held = question.promptTokens + question.outputTokens
        val attempt = ReportedAttempt(advice.server, advice.uncachedTokens, held, question.tier)
        replace(source, Work(work.sequence, work.at, work.attempts, work.advised + (question.number to Advised(advice, attempt))))
    }

    /** Forgets what VMs reported that are no longer among [nodes]. */
    fun keepOnly(nodes: Set<String>) = works.keys.filter { it.node !in nodes }.forEach(::forget)

    private fun forgetOld(now: Instant) = works.filterValues { now - it.at > LIFETIME }.keys.forEach(::forget)

    private fun forget(source: Source) {
        works.remove(source)?.all?.forEach { pool.find(it.server)?.others?.remove(source.node) }
    }

    private fun replace(
        source: Source,
        work: Work,
    ) {
        forget(source)
        works[source] = work
        work.all.groupBy { it.server }.forEach { (server, attempts) ->
            pool.find(server)?.others?.put(source.node, RemoteLoad(attempts, work.at))
        }
    }

    private companion object {
        // Longer than nearly all answers take; a VM reports whenever one of its attempts begins to be answered or ends.
        val LIFETIME: Duration = 15.seconds
    }
}

private fun ServerState.noteEnd(
    failure: ServerFailure?,
    now: Instant,
) {
    if (failure != null) return failed(failure, now)
    health.succeeded(now)
    heard(now)
}

private fun ServerScore.toAdvice() = PoolAdvice(server.id, server.known.server.incarnation, uncachedTokens, "score=%.3f".format(seconds))

private fun ReportedNotice.toNotice() = ServerNotice(isLeaving, quietMilliseconds.takeIf { it > 0 }?.milliseconds)
