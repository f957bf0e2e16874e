package org.ragwortlever.core.fleet

import org.junit.jupiter.api.Test
import org.ragwortlever.core.route.RoutingDocument
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class FleetViewTest {
    private val start = Instant.fromEpochSeconds(1000)
    private val view = FleetView()

    private fun document(version: Long) = RoutingDocument(version, emptyList(), emptyMap(), emptyList())

    private fun node(name: String) = FleetRecord.NodeRegistered(NodeRecord(name, 1, "10.0.0.1:80", "a", "region"))

    @Test
    fun `given a newer configuration, when an older one arrives, then it is not applied`() {
        view.apply(FleetRecord.ConfigurationChanged(document(7)), start)
        expectThat(view.apply(FleetRecord.ConfigurationChanged(document(5)), start)).isNull()
        view.replaceAll(listOf(FleetRecord.ConfigurationChanged(document(6))), start)
        expectThat(view.document?.version).isEqualTo(7)
    }

    @Test
    fun `given a listing without an evacuated zone, then the zone is back in service`() {
        view.apply(FleetRecord.ZoneTakenOut("a"), start)
        expectThat(view.zonesTakenOut).containsExactly("a")
        view.replaceAll(emptyList(), start)
        expectThat(view.zonesTakenOut).isEqualTo(emptySet())
    }

    @Test
    fun `given a VM whose entry goes while the store serves, then callers are no longer sent there`() {
        view.apply(node("one"), start)
        view.apply(FleetRecord.NodeRemoved("one"), start)
        expectThat(view.nodes.keys).isEqualTo(emptySet())
    }

    @Test
    fun `given an outage that ended all leases, when the store is back, then VMs have time to register again`() {
        listOf("one", "two").forEach { view.apply(node(it), start) }
        view.markStoreUnavailable()
        view.markStoreAvailable(start + 20.seconds)
        view.replaceAll(emptyList(), start + 20.seconds)
        view.expire(start + 21.seconds)
        expectThat(view.nodes.keys).containsExactlyInAnyOrder("one", "two")
        view.apply(node("two"), start + 21.seconds)
        expectThat(view.expire(start + 23.seconds)).containsExactly(FleetChange.NODES)
        expectThat(view.nodes.keys).containsExactly("two")
    }
}
