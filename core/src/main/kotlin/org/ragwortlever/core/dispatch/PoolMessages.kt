/*
 * What entry VMs tell the one that decides for a pool of backend servers, and what it answers. A report holds all open
 * attempts of its VM, so that a lost or repeated one does no harm and a new deciding VM knows everything soon.
 */
package org.ragwortlever.core.dispatch

import kotlinx.serialization.Serializable
import org.ragwortlever.core.backend.ServerFailure

/**
 * An open attempt on [server].
 *
 * @property unreadTokens prompt tokens that the server has probably not read yet.
 * @property heldTokens tokens of prompt and answer for which the server needs memory.
 */
@Serializable
data class ReportedAttempt(
    val server: String,
    val unreadTokens: Int,
    val heldTokens: Int,
)

/** How an attempt on [server] ended; [failure] is null after a whole answer. */
@Serializable
data class ReportedEnd(
    val server: String,
    val failure: ServerFailure?,
)

/**
 * What the entry VM [node] does at [service].
 *
 * @property sequence grows from report to report, also over restarts of the VM.
 * @property attempts all open attempts.
 * @property pending numbers of the questions whose answers the VM still awaits.
 * @property ends attempts that ended since the last report.
 */
@Serializable
data class PoolReport(
    val node: String,
    val service: String,
    val sequence: Long,
    val attempts: List<ReportedAttempt>,
    val pending: List<Long>,
    val ends: List<ReportedEnd>,
)

/**
 * Asks for a backend server.
 *
 * @property number names the question among those of its VM.
 * @property zone availability zone of the VM that asks.
 * @property engineTokens memory of one model engine of the service, in tokens; 0 when unknown.
 * @property excluded servers that this request must not get, and those that the VM avoids.
 * @property cold cold servers that the VM may send one request now.
 */
@Serializable
data class PoolQuestion(
    val report: PoolReport,
    val number: Long,
    val requestId: String,
    val parts: List<PromptPart>,
    val outputTokens: Int,
    val zone: String,
    val engineTokens: Int,
    val excluded: Set<String>,
    val cold: Set<String>,
)

/**
 * The server to take.
 *
 * @property incarnation start of the server's process that is meant.
 * @property uncachedTokens prompt tokens that the server will have to read.
 */
@Serializable
data class PoolAdvice(
    val server: String,
    val incarnation: Long,
    val uncachedTokens: Int,
    val reason: String,
)

/** [advice] is null when the deciding VM knows no server that fits. */
@Serializable
data class PoolAnswer(
    val advice: PoolAdvice?,
)
