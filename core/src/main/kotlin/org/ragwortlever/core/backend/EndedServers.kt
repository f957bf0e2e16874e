/*
 * The order of the announcements of one server, and the last ones of servers that are gone. Announcements arrive late, in the
 * listing of a store that has come back from an older copy, or through another VM; none of them may undo what is known.
 */
package org.ragwortlever.core.backend

/**
 * Whether this announcement makes [other], of the same server, outdated: it is of a later process, says that the process
 * shuts down, from which no process comes back, or was made later.
 */
internal fun BackendServer.supersedes(other: BackendServer): Boolean =
    when {
        incarnation != other.incarnation -> incarnation > other.incarnation
        hasKnownProcess && isDraining != other.isDraining -> isDraining
        else -> sequence > other.sequence
    }

/** Whether announcements of the process can be told from those of others that had the same id. */
private val BackendServer.hasKnownProcess: Boolean get() = incarnation > 0

/** The last announcements of servers whose entries have ended; not thread-safe. */
internal class EndedServers {
    private val last = LinkedHashMap<String, BackendServer>()

    /** Records that the entry of [server] has ended. */
    fun record(server: BackendServer) {
        if (!server.hasKnownProcess) return
        last.remove(server.id)
        last[server.id] = server
        if (last.size > MAX_SERVERS) last.remove(last.keys.first())
    }

    /** Records that the server [id] is announced again. */
    fun forget(id: String) {
        last.remove(id)
    }

    /**
     * Whether [announced] is older than the end of the server's entry.
     *
     * @param mayBeCopied whether the announcement may come from a copy of the store that is older than the end, so that the
     *   server has to say something new.
     */
    fun supersede(
        announced: BackendServer,
        mayBeCopied: Boolean,
    ): Boolean {
        val before = last[announced.id] ?: return false
        return before.supersedes(announced) || (mayBeCopied && before.copy(coldFor = announced.coldFor) == announced)
    }

    private companion object {
        // Several times the servers of the largest fleet.
        const val MAX_SERVERS = 4000
    }
}
