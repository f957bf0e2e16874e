// All lanes of a node, by class and model and in the order of their tiers, with their competition for servers.
package org.ragwortlever.core.admission

import org.ragwortlever.core.capacity.ServerCapacity
import org.ragwortlever.core.configuration.RequestClass

/** The lanes of a node. [serversOf] names the servers that may take new work of a class for a model. */
internal class LaneRegistry(
    private val fair: Boolean,
    private val serversOf: (classId: String, model: String) -> List<ServerCapacity>,
) {
    private val byName = HashMap<String, HashMap<String, Lane>>()

    /** The lanes, the highest tier first. */
    var ordered: List<Lane> = emptyList()
        private set

    fun find(
        classId: String,
        model: String,
    ): Lane? = byName[classId]?.get(model)

    fun findOrCreate(
        classId: String,
        model: String,
        definition: RequestClass,
    ): Lane {
        find(classId, model)?.let { return it }
        val lane = Lane(classId, model, definition, fair)
        byName.getOrPut(classId) { HashMap() }[model] = lane
        ordered = ordered + lane
        rebuild(emptyMap())
        return lane
    }

    /** Takes over the classes in [definitions] and looks up the servers of every lane again. */
    fun rebuild(definitions: Map<String, RequestClass>) {
        ordered.forEach { lane ->
            lane.definition = definitions[lane.classId] ?: lane.definition
            lane.servers = serversOf(lane.classId, lane.model)
            lane.isBlocked = false
        }
        ordered = ordered.sortedBy { it.tier }
        ordered.flatMap { it.servers }.distinct().forEach { it.lanes = emptyList() }
        ordered.forEach { lane ->
            lane.servers.forEach { it.lanes += lane }
            lane.competitors = ordered.filter { it !== lane }.mapNotNull { other -> competitor(lane, other) }
        }
    }

    private fun competitor(
        lane: Lane,
        other: Lane,
    ): Competitor? {
        val own = lane.servers.toSet()
        val common = other.servers.filter { it in own }.sumOf { it.server.maxConcurrency }
        if (common == 0) return null
        return Competitor(other, common.toDouble() / other.servers.sumOf { it.server.maxConcurrency })
    }
}
