// Nodes that spread the configuration, with a fake store, in virtual time.
package org.ragwortlever.core.distribution

import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.ragwortlever.core.configuration.ConfigurationChange
import org.ragwortlever.core.configuration.SectionChange
import org.ragwortlever.core.configuration.applyChange
import org.ragwortlever.core.membership.Peer
import org.ragwortlever.core.simulation.VirtualNetwork
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal class DistributionFleet(
    val network: VirtualNetwork,
    val peers: List<Peer>,
) {
    private val changes = ArrayList<EncodedChange>()
    private val acceptedAt = ArrayList<Instant>()
    private var sections: Sections = emptyMap()

    /** Whether a node's calls to the store fail. */
    var storeCut: (node: String) -> Boolean = { false }
    var storeDown = false

    /** Revisions by which a read of a node lags behind; a store without linearizable reads. */
    var staleBy: (node: String) -> Int = { 0 }
    val nodes: Map<String, Node> = peers.associate { it.id to Node(it) }
    val newest: Long get() = changes.size.toLong()

    /** What a node that breaks a rule reports; the tests look at it after a run. */
    val violations = ArrayList<String>()

    /** Puts a change through a node that reaches the store, if there is one. */
    fun put() {
        val through = nodes.values.filter { !storeDown && !it.paused && !storeCut(it.peer.id) }.randomOrNull(network.random) ?: return
        val revision = newest + 1
        val key = mapOf("key-$revision" to JsonPrimitive(true))
        val change = ConfigurationChange(revision, "test", network.now, mapOf("keys" to SectionChange(JsonObject(key))))
        changes += EncodedChange(revision, Json.encodeToString(change))
        acceptedAt += network.now
        sections = mapOf("keys" to sections["keys"].orEmpty().applyChange(change.sections.getValue("keys")))
        through.handle(DistributionEvent.Accepted(changes.last()))
        nodes.values.filter { it.watching }.forEach { node -> node.onStore { node.handle(DistributionEvent.HeadChanged) } }
    }

    /** The newest revision that was accepted at or before [time]. */
    fun acceptedBy(time: Instant): Long = acceptedAt.count { it <= time }.toLong()

    /** The moment at which [revision] was accepted. */
    fun timeOf(revision: Long): Instant = acceptedAt[revision.toInt() - 1]

    inner class Node(
        val peer: Peer,
    ) {
        private var run = 0
        private var distributor = ConfigurationDistributor(peer, Random(0))
        private var highestTrusted = 0L
        var watching = false
        var paused = false
        val inForceAt = HashMap<Long, Instant>()
        val revision get() = distributor.revision
        val isTrusted get() = distributor.isTrusted(network.now)

        fun start() {
            val thisRun = ++run
            watching = false
            distributor = ConfigurationDistributor(peer, Random(network.random.nextLong()))
            handle(DistributionEvent.MembersChanged(peers))
            tick(thisRun)
        }

        private fun tick(ofRun: Int) {
            if (ofRun != run) return
            if (!paused) handle(DistributionEvent.Tick)
            check()
            network.after(100.milliseconds) { tick(ofRun) }
        }

        fun handle(event: DistributionEvent) {
            if (paused) return network.after(50.milliseconds) { handle(event) }
            distributor.handle(event, network.now).forEach(::carryOut)
        }

        private fun carryOut(effect: DistributionEffect) {
            when (effect) {
                is DistributionEffect.Send -> {
                    network.send(peer.id, effect.to) {
                        nodes.getValue(effect.to).handle(DistributionEvent.Received(peer.id, effect.message))
                    }
                }
                is DistributionEffect.Watch -> {
                    watching = effect.enabled
                }
                is DistributionEffect.InForce -> {
                    inForceAt.putIfAbsent(effect.revision, network.now)
                }
                is DistributionEffect.Call -> {
                    call(effect)
                }
            }
        }

        private fun call(effect: DistributionEffect.Call) {
            val started = network.now
            val ofRun = run
            onStore {
                if (ofRun != run) return@onStore
                val seen = maxOf(0, newest - staleBy(peer.id))
                if (storeDown || storeCut(peer.id)) return@onStore handle(DistributionEvent.StoreFailed(effect.call))
                handle(
                    when (effect.call) {
                        StoreCall.READ_HEAD -> DistributionEvent.HeadRead(seen, started)
                        StoreCall.READ_CHANGES -> DistributionEvent.ChangesRead(changes.filter { it.revision in effect.after + 1..seen })
                        StoreCall.READ_SECTIONS -> DistributionEvent.SectionsRead(newest, sections, started)
                    },
                )
            }
        }

        fun onStore(action: () -> Unit) = network.after(network.random.nextInt(2, 20).milliseconds, action)

        /** Samples the rules: a trusted copy misses nothing older than 5 s and never goes back. */
        private fun check() {
            if (!isTrusted || paused) return
            val due = acceptedBy(network.now - 5.seconds)
            if (revision < due) violations += "${network.elapsed}: ${peer.id} trusts $revision, $due is older than 5 s"
            if (revision < highestTrusted) violations += "${network.elapsed}: ${peer.id} went back from $highestTrusted to $revision"
            highestTrusted = revision
        }
    }

    companion object {
        /** [count] nodes spread over [zones] zones in [regions] regions. */
        fun peers(
            count: Int,
            zones: Int,
            regions: Int,
        ): List<Peer> =
            List(count) {
                val zone = it % zones
                Peer("n$it", "z$zone", "r${zone % regions}")
            }
    }
}
