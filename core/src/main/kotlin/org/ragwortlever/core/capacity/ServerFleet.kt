// The backend servers of the current configuration, with the state of each.
package org.ragwortlever.core.capacity

import org.ragwortlever.core.configuration.ConfigurationSnapshot

/**
 * The backend servers by id. Not thread-safe.
 *
 * @property avoidLeaving whether leaving servers and zones that are taken out get no new work.
 * @property create creates the capacity of a server that is seen for the first time.
 */
internal class ServerFleet(
    private val avoidLeaving: Boolean,
    private val create: (id: String) -> ServerCapacity,
) {
    private var snapshot = ConfigurationSnapshot.EMPTY
    private var current: Map<String, ServerCapacity> = emptyMap()

    // Servers no longer configured that still run attempts. If the entry returns, these attempts count again.
    private var removedWithAttempts: Map<String, ServerCapacity> = emptyMap()

    val all: Collection<ServerCapacity> get() = current.values

    fun find(id: String): ServerCapacity? = current[id]

    /** Replaces the servers by those of [changed]; known servers keep their state. */
    fun applyConfiguration(changed: ConfigurationSnapshot) {
        val entries = changed.document.backendServers
        val known = removedWithAttempts + current
        removedWithAttempts = known.filter { (id, capacity) -> id !in entries && capacity.running > 0 }
        val before = current
        current =
            entries.mapValues { (id, entry) ->
                val capacity = known[id] ?: create(id)
                // A new or returning entry, or a changed address, means an engine that has just started.
                if (before[id]?.server?.address != entry.address) capacity.limit.restartSlowStart()
                capacity.also { it.server = entry }
            }
        snapshot = changed
        assignRemainders()
    }

    /**
     * Starts the remainder of each server at the position where the one before ended. Uses only configured values, on
     * which all nodes agree.
     */
    private fun assignRemainders() {
        var first = 0
        current.toSortedMap().values.forEach { capacity ->
            capacity.firstRemainderPosition = first
            first += capacity.server.freshConcurrency
        }
    }

    /** Servers that may accept new requests of class [classId] for [model]. */
    fun serversFor(
        classId: String,
        model: String,
    ): List<ServerCapacity> {
        if (avoidLeaving) return snapshot.serversFor(classId, model).keys.map { current.getValue(it) }
        return current.values.filter { model in it.server.models }
    }
}
