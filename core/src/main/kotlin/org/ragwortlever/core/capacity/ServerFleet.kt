// The backend servers of the configuration in force, with what has been learned about each of them.
package org.ragwortlever.core.capacity

import org.ragwortlever.core.configuration.ConfigurationSnapshot

/**
 * The backend servers by id. [create] makes the capacity of a server that is seen for the first time. With
 * [avoidLeaving] false, leaving servers and zones that were taken out still get work.
 */
internal class ServerFleet(
    private val avoidLeaving: Boolean,
    private val create: (id: String) -> ServerCapacity,
) {
    private var snapshot = ConfigurationSnapshot.EMPTY
    private var current: Map<String, ServerCapacity> = emptyMap()

    // Attempts can outlive their server's entry. When the entry returns they count again.
    private var removedWithAttempts: Map<String, ServerCapacity> = emptyMap()

    val all: Collection<ServerCapacity> get() = current.values

    fun find(id: String): ServerCapacity? = current[id]

    fun applyConfiguration(changed: ConfigurationSnapshot) {
        val entries = changed.document.backendServers
        val known = removedWithAttempts + current
        removedWithAttempts = known.filter { (id, capacity) -> id !in entries && capacity.running > 0 }
        val before = current
        current =
            entries.mapValues { (id, entry) ->
                val capacity = known[id] ?: create(id)
                // An entry that returns or points elsewhere belongs to an engine that has just been started.
                if (before[id]?.server?.address != entry.address) capacity.limit.restartSlowStart()
                capacity.also { it.server = entry }
            }
        snapshot = changed
        assignRemainders()
    }

    /** Each server's remainder starts where the one before ended; by configured values, on which all nodes agree. */
    private fun assignRemainders() {
        var first = 0
        current.toSortedMap().values.forEach { capacity ->
            capacity.firstRemainderPosition = first
            first += capacity.server.freshConcurrency
        }
    }

    /** The servers that may take new work of the class for [model]. */
    fun serversFor(
        classId: String,
        model: String,
    ): List<ServerCapacity> {
        if (avoidLeaving) return snapshot.serversFor(classId, model).keys.map { current.getValue(it) }
        return current.values.filter { model in it.server.models }
    }
}
