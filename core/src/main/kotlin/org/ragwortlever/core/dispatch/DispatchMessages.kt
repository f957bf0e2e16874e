// The events that the dispatcher takes and the effects that it asks for.
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.backend.KnownServer
import org.ragwortlever.core.backend.ServerFailure
import org.ragwortlever.core.error.Refusal
import org.ragwortlever.core.route.Route
import org.ragwortlever.core.route.ServiceDefinition
import kotlin.time.Duration
import kotlin.time.Instant

/** A part of a prompt; requests whose prompts begin with the same parts share what a model engine has read of them. */
data class PromptPart(
    val id: String,
    val tokens: Int,
)

/**
 * A request as the dispatcher sees it.
 *
 * @property key identifies the request on this node; never used twice.
 * @property services services that may run it, the preferred one first.
 * @property tier rank of the request; 0 is the highest.
 * @property parts parts of the prompt in order, the last being its own; empty for requests to plain services.
 * @property outputTokens most tokens that the answer may have.
 * @property digest equal for requests with the same content, whoever sends them.
 * @property deadline when the caller stops waiting.
 */
data class RoutedRequest(
    val key: Long,
    val id: String,
    val route: Route,
    val services: List<ServiceDefinition>,
    val account: String?,
    val tier: Int,
    val parts: List<PromptPart>,
    val outputTokens: Int,
    val digest: String,
    val deadline: Instant,
) {
    val promptTokens: Int get() = parts.sumOf { it.tokens }
}

/** How an attempt on a backend server ended. */
sealed interface AttemptEnd {
    /** The whole answer has arrived. */
    data object Answered : AttemptEnd

    /** The request did not run: nothing was sent, or the server proved it. */
    data class NotRun(
        val failure: ServerFailure,
    ) : AttemptEnd

    /**
     * The attempt failed and may have run.
     *
     * @property canResume whether the part of the answer that has reached the caller can be continued elsewhere.
     */
    data class Failed(
        val failure: ServerFailure,
        val canResume: Boolean = true,
    ) : AttemptEnd
}

sealed interface DispatchEvent {
    data class Submit(
        val request: RoutedRequest,
    ) : DispatchEvent

    /** The first byte of the answer to the request [key] has arrived. */
    data class FirstByte(
        val key: Long,
    ) : DispatchEvent

    /** The present attempt of the request [key] has ended. */
    data class AttemptEnded(
        val key: Long,
        val end: AttemptEnd,
    ) : DispatchEvent

    data class CallerGone(
        val key: Long,
    ) : DispatchEvent

    /** The servers that may get requests have changed. */
    data class ServersChanged(
        val servers: List<KnownServer>,
    ) : DispatchEvent

    /** Availability zones that must get nothing new. */
    data class ZonesTakenOut(
        val zones: Set<String>,
    ) : DispatchEvent

    /** The entry VMs that take requests, by name. */
    data class NodesChanged(
        val nodes: Set<String>,
    ) : DispatchEvent

    /** Another entry VM saw [server] fail under requests with [digests]. */
    data class CrashReported(
        val server: String,
        val zone: String,
        val digests: Set<String>,
    ) : DispatchEvent
}

sealed interface DispatchEffect {
    /** What is to become of the request [key]. */
    sealed interface Decision : DispatchEffect {
        val key: Long
    }

    /**
     * Send the request to [server].
     *
     * @property patience longest time to wait for the first byte before the attempt is given up; null for no limit of its own.
     */
    data class Send(
        override val key: Long,
        val server: KnownServer,
        val attempt: Int,
        val patience: Duration?,
        val reason: String,
    ) : Decision

    /** Give the caller its final answer at once. */
    data class Refuse(
        override val key: Long,
        val refusal: Refusal,
    ) : Decision

    /** Tell the other entry VMs that [server] failed under requests with [digests]. */
    data class ReportCrash(
        val server: String,
        val zone: String,
        val digests: Set<String>,
    ) : DispatchEffect
}
