package org.ragwortlever.daemon.fleet

import org.junit.jupiter.api.Test
import org.ragwortlever.core.fleet.ChangeLog
import org.ragwortlever.core.fleet.RelayRequest
import org.ragwortlever.core.fleet.ServiceLoad
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Guards against server orders from an incomplete load: in a large fleet, most of the load is reported by a few relays. */
class RelayLoadTest {
    private var now = Instant.fromEpochSeconds(1000)
    private val relay = Relay(ChangeLog().apply { reset(1, now) }, { now })

    private fun ask(
        node: String,
        load: Map<String, ServiceLoad>,
    ) {
        relay.handle(RelayRequest(node, 0, 0, load))
    }

    @Test
    fun `given VMs that report load to a relay, when the load is aggregated, then it is their sum by service`() {
        ask("vm-2", mapOf("models" to ServiceLoad(0.5, 3), "orders" to ServiceLoad(0.0, 1)))
        ask("vm-3", mapOf("models" to ServiceLoad(0.25, 2)))
        expectThat(relay.aggregateLoad(mapOf("models" to ServiceLoad(1.0, 4))))
            .isEqualTo(mapOf("models" to ServiceLoad(1.75, 9), "orders" to ServiceLoad(0.0, 1)))
    }

    @Test
    fun `given a VM that no longer calls the relay, when the load is aggregated, then its load is excluded`() {
        ask("vm-2", mapOf("models" to ServiceLoad(0.5, 3)))
        now += 5.seconds
        expectThat(relay.aggregateLoad(emptyMap())).isEqualTo(emptyMap())
    }
}
