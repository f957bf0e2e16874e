// What this node knows of one backend server: its own requests there, its health and the prompt parts that it sent.
package org.ragwortlever.core.dispatch

import org.ragwortlever.core.backend.KnownServer
import org.ragwortlever.core.backend.ServerFailure
import org.ragwortlever.core.backend.ServerHealth
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** A request that runs on a server. [uncachedTokens] is what the server was expected to have to read of its prompt. */
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

/** What another entry VM did on a server when it reported last, at [at]. */
internal class RemoteLoad(
    attempts: List<ReportedAttempt>,
    private val at: Instant,
) {
    /** Attempts whose prompts have to be read. */
    private val unread = attempts.filter { it.unreadTokens > 0 }
    val running = attempts.size
    val waiting = unread.size
    val unreadTokens = unread.sumOf { it.unreadTokens }
    val heldTokens = attempts.sumOf { it.heldTokens }

    fun unreadTokens(
        tier: Int,
        now: Instant,
    ): Int = if (now - at > UNREAD_LIFETIME) 0 else unread.sumOf { if (it.tier <= tier) it.unreadTokens else 0 }
}

// A server that gets what it can begin soon has read it within a fraction of this. A VM that died with open attempts, or
// a server that hangs, must not keep all remoteLoads waiting until their entries lapse.
private val UNREAD_LIFETIME = 1.5.seconds

internal class ServerState(
    var known: KnownServer,
    val availability: ServerAvailability = ServerAvailability(),
) {
    val health = ServerHealth()
    val running = LinkedHashMap<Long, RunningAttempt>()

    /** What other entry VMs reported, by name; empty unless this VM decides for them. */
    val remoteLoads = HashMap<String, RemoteLoad>()
    private val partsSentAt = LinkedHashMap<String, Instant>()

    private var lastResponseAt = Instant.DISTANT_PAST
    private val brokenAttempts = ArrayList<BrokenAttempt>()

    val id: String get() = known.server.id
    val zone: String get() = known.server.zone
    val incarnationName: String get() = "$id@${known.server.incarnation}"

    /** Prompt tokens that the server has probably not read yet, as far as this VM knows. */
    val unreadTokens: Int get() = running.values.sumOf { it.unreadTokens } + remoteLoads.values.sumOf { it.unreadTokens }

    /** Those of [unreadTokens] that belong to requests as urgent as [tier] or more and can be expected to be read soon. */
    fun unreadTokens(
        tier: Int,
        now: Instant,
    ): Int = running.values.sumOf { it.unreadTokens(tier, now) } + remoteLoads.values.sumOf { it.unreadTokens(tier, now) }

    /** Memory that the known requests on the server need, in tokens. */
    val heldTokens: Int get() = running.values.sumOf { it.heldTokens } + remoteLoads.values.sumOf { it.heldTokens }

    /** Known requests whose prompts the server has probably not read yet. */
    val waitingRequests: Int get() = running.values.count { it.firstByteAt == null } + remoteLoads.values.sumOf { it.waiting }

    /** Known requests on the server. */
    val runningRequests: Int get() = running.size + remoteLoads.values.sumOf { it.running }

    /** Notes that an attempt with [digest] broke off; the server may have crashed under it. */
    fun recordBrokenAttempt(
        digest: String,
        now: Instant,
    ) {
        brokenAttempts += BrokenAttempt(digest, now)
    }

    /** Digests of the attempts that broke off lately, now that the server's crash is certain; each is returned once. */
    fun takeCrashSuspects(now: Instant): Set<String> {
        val digests = brokenAttempts.filter { now - it.at < CRASH_CONFIRMATION_WINDOW && it.digest.isNotEmpty() }.mapTo(HashSet()) { it.digest }
        brokenAttempts.clear()
        return digests
    }

    /**
     * An attempt has failed. A request that waited in vain says nothing of a server that answers remoteLoads: it was given
     * more work than it could do, and avoiding it would only move the queue.
     */
    fun recordFailure(
        failure: ServerFailure,
        now: Instant,
    ) {
        if (failure == ServerFailure.CLOSED) return
        if (failure == ServerFailure.SILENT && now - lastResponseAt < RESPONSIVE_WINDOW) return
        health.recordFailure(failure, now)
    }

    /** An answer, or a part of one, has arrived. */
    fun recordResponse(now: Instant) {
        lastResponseAt = now
    }

    /**
     * Whether a request has waited for its first byte for longer than [patience] while nothing else came either: the
     * server, or the way to it, may be dead without a reset that would tell.
     */
    fun isSilent(
        threshold: Duration,
        now: Instant,
    ): Boolean = now - lastResponseAt > threshold && running.values.any { it.firstByteAt == null && now - it.startedAt > threshold }

    fun isCold(now: Instant): Boolean = now < known.coldUntil

    /** Tokens of [parts] that the server has to read: those from the first part on that was not sent to it lately. */
    fun uncachedTokens(
        parts: List<PromptPart>,
        now: Instant,
    ): Int {
        val cached = parts.takeWhile { part -> hasCached(part.id, now) }
        return parts.drop(cached.size).sumOf { it.tokens }
    }

    /** Whether the part [id] was sent to the server lately. */
    fun hasCached(
        id: String,
        now: Instant,
    ): Boolean = partsSentAt[id]?.let { now - it < PART_LIFETIME } ?: false

    fun recordSent(
        parts: List<PromptPart>,
        now: Instant,
    ) {
        parts.forEach {
            partsSentAt.remove(it.id)
            partsSentAt[it.id] = now
        }
        while (partsSentAt.size > MAX_REMEMBERED_PARTS) partsSentAt.remove(partsSentAt.keys.first())
    }

    private data class BrokenAttempt(
        val digest: String,
        val at: Instant,
    )

    private companion object {
        // A crashed server refuses connections for some seconds, and its announcement lapses within four.
        val CRASH_CONFIRMATION_WINDOW: Duration = 5.seconds

        // Engines drop the least recently used parts; under load a part that is not used survives a few tens of seconds.
        val PART_LIFETIME: Duration = 30.seconds

        // Overloaded engines still begin several requests in this time.
        val RESPONSIVE_WINDOW: Duration = 1.seconds
        const val MAX_REMEMBERED_PARTS = 1000
    }
}
