/*
 * The side of the entry VM that decides for others: keeps what they reported of their open attempts in the states of the
 * servers, next to this VM's own, and answers their questions.
 */
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.backend.ServerFailure
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Not thread-safe. */
internal class PoolDesk(
    private val pool: ServerPool,
) {
    private class Work(
        val sequence: Long,
        val at: Instant,
        val attempts: List<ReportedAttempt>,
        val advised: Map<Long, ReportedAttempt>,
    ) {
        val all: List<ReportedAttempt> get() = attempts + advised.values
    }

    private data class Source(
        val node: String,
        val service: String,
    )

    private val works = HashMap<Source, Work>()

    fun reported(
        report: PoolReport,
        now: Instant,
    ) {
        report.ends.forEach { end -> pool.find(end.server)?.noteEnd(end.failure, now) }
        val source = Source(report.node, report.service)
        val before = works[source]
        if (before != null && before.sequence >= report.sequence) return
        val advised = before?.advised.orEmpty().filterKeys { it in report.pending }
        replace(source, Work(report.sequence, now, report.attempts, advised))
    }

    /** The best server for [question]; null when none is known that fits. */
    fun answer(
        question: PoolQuestion,
        now: Instant,
    ): PoolAdvice? {
        reported(question.report, now)
        forgetOld(now)
        val source = Source(question.report.node, question.report.service)
        val best = pool.chooseFor(question, now) ?: return null
        val work = works.getValue(source)
        val held = question.parts.sumOf { it.tokens } + question.outputTokens
        val advised = work.advised + (question.number to ReportedAttempt(best.server.id, best.uncachedTokens, held))
        replace(source, Work(work.sequence, now, work.attempts, advised))
        best.server.sent(question.parts, now)
        return PoolAdvice(best.server.id, best.server.known.server.incarnation, best.uncachedTokens, "score=%.3f".format(best.seconds))
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
            pool.find(server)?.others?.put(source.node, attempts.toShare())
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

private fun List<ReportedAttempt>.toShare() =
    OthersShare(
        running = size,
        waiting = count { it.unreadTokens > 0 },
        unreadTokens = sumOf { it.unreadTokens },
        heldTokens = sumOf { it.heldTokens },
    )
