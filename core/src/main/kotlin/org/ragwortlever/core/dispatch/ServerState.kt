// The state of one backend server as this node knows it: its own requests there, its health and the prompt parts sent.
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.backend.KnownServer
import org.ragwortlever.core.backend.ServerFailure
import org.ragwortlever.core.backend.ServerHealth
import org.ragwortlever.core.engine.CachedParts
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * A request that runs on a server. [uncachedTokens] is the number of prompt tokens that the server was expected to
 * prefill.
 */
internal class RunningAttempt(
    val request: RoutedRequest,
    val server: ServerState,
    val startedAt: Instant,
    val uncachedTokens: Int,
    val number: Int,
) {
    var firstByteAt: Instant? = null
    val unreadTokens: Int get() = if (firstByteAt == null) uncachedTokens else 0
    val heldTokens: Int get() = request.promptTokens + request.outputTokens

    fun unreadTokens(
        tier: Int,
        now: Instant,
    ): Int = if (request.tier > tier || now - startedAt > UNREAD_LIFETIME) 0 else unreadTokens
}

/** Load that another entry VM put on a server, as last reported at [at]. */
internal class RemoteLoad(
    attempts: List<ReportedAttempt>,
    private val at: Instant,
) {
    /** Attempts whose prompts are not prefilled yet. */
    private val unread = attempts.filter { it.unreadTokens > 0 }
    val running = attempts.size
    val waiting = unread.size
    val unreadTokens = unread.sumOf { it.unreadTokens }
    val heldTokens = attempts.sumOf { it.heldTokens }
    val answerTokens = attempts.sumOf { it.answerTokens }

    fun unreadTokens(
        tier: Int,
        now: Instant,
    ): Int = if (now - at > UNREAD_LIFETIME) 0 else unread.sumOf { if (it.tier <= tier) it.unreadTokens else 0 }
}

// A server that gets only what it can start soon has prefilled it in a fraction of this time. A VM that died with open
// attempts, or a server that hangs, must not block all other requests until its entries expire.
private val UNREAD_LIFETIME = 1.5.seconds

/** State of one backend server. Not thread-safe. */
internal class ServerState(
    var known: KnownServer,
    val availability: ServerAvailability = ServerAvailability(),
) {
    val health = ServerHealth()
    val running = LinkedHashMap<Long, RunningAttempt>()

    /** Loads reported by other entry VMs, by name; empty unless this VM is the decider. */
    val remoteLoads = HashMap<String, RemoteLoad>()
    private val cachedParts = CachedParts()

    private var lastResponseAt = Instant.DISTANT_PAST
    private val brokenAttempts = ArrayList<BrokenAttempt>()

    val id: String get() = known.server.id
    val zone: String get() = known.server.zone
    val incarnationName: String get() = "$id@${known.server.incarnation}"

    /** Prompt tokens that the server has probably not prefilled yet, as far as this VM knows. */
    val unreadTokens: Int get() = running.values.sumOf { it.unreadTokens } + remoteLoads.values.sumOf { it.unreadTokens }

    /**
     * The part of [unreadTokens] that belongs to requests at least as urgent as [tier] and is expected to be prefilled
     * soon.
     */
    fun unreadTokens(
        tier: Int,
        now: Instant,
    ): Int = running.values.sumOf { it.unreadTokens(tier, now) } + remoteLoads.values.sumOf { it.unreadTokens(tier, now) }

    /** Memory that the known requests on the server need, in tokens. */
    val heldTokens: Int get() = running.values.sumOf { it.heldTokens } + remoteLoads.values.sumOf { it.heldTokens }

    /** The part of [heldTokens] that is kept for answers; parts of prompts are shared and cached. */
    private val answerTokens: Int get() = running.values.sumOf { it.request.outputTokens } + remoteLoads.values.sumOf { it.answerTokens }

    /** Number of known requests whose prompts the server has probably not prefilled yet. */
    val waitingRequests: Int get() = running.values.count { it.firstByteAt == null } + remoteLoads.values.sumOf { it.waiting }

    /** Number of known requests on the server. */
    val runningRequests: Int get() = running.size + remoteLoads.values.sumOf { it.running }

    /** Records that an attempt with [digest] broke off; it may have crashed the server. */
    fun recordBrokenAttempt(
        digest: String,
        now: Instant,
    ) {
        brokenAttempts += BrokenAttempt(digest, now)
    }

    /**
     * Returns the digests of the attempts that broke off recently, once the crash of the server is certain. Each digest
     * is returned once.
     */
    fun takeCrashSuspects(now: Instant): Set<String> {
        val digests = brokenAttempts.filter {
            now - it.at < CRASH_CONFIRMATION_WINDOW && it.digest.isNotEmpty()
        }.mapTo(HashSet()) { it.digest }
        brokenAttempts.clear()
        return digests
    }

    /**
     * Records a failed attempt. A timeout does not count against a server that answers other requests: it was given
     * more work than it could do, and avoiding it would only move the queue elsewhere.
     */
    fun recordFailure(
        failure: ServerFailure,
        now: Instant,
    ) {
        if (failure.isLocal) return
        if (failure == ServerFailure.SILENT && now - lastResponseAt < RESPONSIVE_WINDOW) return
        health.recordFailure(failure, now)
    }

    /** Records that an answer, or a part of one, has arrived. */
    fun recordResponse(now: Instant) {
        lastResponseAt = now
    }

    /**
     * Whether a request has waited for its first byte for longer than [threshold] while no other response arrived: the
     * server or the connection to it may be dead without a reset that would show it.
     */
    fun isSilent(
        threshold: Duration,
        now: Instant,
    ): Boolean = now - lastResponseAt > threshold && running.values.any { it.firstByteAt == null && now - it.startedAt > threshold }

    /** Whether the server has started so recently that it gets only a few requests per second. */
    fun isCold(now: Instant): Boolean = now < known.coldUntil

    /**
     * Tokens of [parts] that the server has to prefill: all from the first part on that it has probably not cached.
     */
    fun uncachedTokens(
        parts: List<PromptPart>,
        now: Instant,
    ): Int {
        val cached = parts.takeWhile { part -> hasCached(part.id, now) }
        return parts.drop(cached.size).sumOf { it.tokens }
    }

    /** Whether the server has probably cached the part [id]. */
    fun hasCached(
        id: String,
        now: Instant,
    ): Boolean = cachedParts.isCached(id, now)

    /**
     * Records that [parts] are sent to the server.
     *
     * @param engineTokens memory of the server's engine, in tokens; null when unknown, so that only the time tells what is kept.
     */
    fun recordSent(
        parts: List<PromptPart>,
        engineTokens: Int?,
        now: Instant,
    ) {
        parts.forEach { cachedParts.recordUse(it.id, it.tokens, now) }
        engineTokens?.let { cachedParts.evictDownTo(it - answerTokens) }
    }

    private data class BrokenAttempt(
        val digest: String,
        val at: Instant,
    )

    private companion object {
        // A crashed server refuses connections for some seconds, and its announcement expires within four.
        val CRASH_CONFIRMATION_WINDOW: Duration = 5.seconds

        // Overloaded engines still start several requests in this time.
        val RESPONSIVE_WINDOW: Duration = 1.seconds
    }
}
