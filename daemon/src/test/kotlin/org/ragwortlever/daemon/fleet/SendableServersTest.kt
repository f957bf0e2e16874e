package org.ragwortlever.daemon.fleet

import org.junit.jupiter.api.Test
import org.ragwortlever.core.backend.BackendServer
import org.ragwortlever.core.backend.KnownServer
import org.ragwortlever.core.rollout.VersionShare
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Instant

class SendableServersTest {
    private val server = BackendServer("one", 1, "service", "127.0.0.1:80", "a", 8, false, Duration.ZERO, false, 1, "v1")
    private val servers = SendableServers().apply { replace(listOf(KnownServer(server, Instant.DISTANT_PAST))) }

    @Test
    fun `given a request that waits for a connection, when its server leaves meanwhile, then it may not be sent there`() {
        expectThat(servers.contains(server)).isTrue()
        servers.replace(emptyList())
        expectThat(servers.contains(server)).isFalse()
    }

    @Test
    fun `given a request that waits, when its server starts again, or its zone or version is taken out, then it may not be sent`() {
        servers.zonesTakenOut = setOf("a")
        expectThat(servers.contains(server)).isFalse()
        servers.zonesTakenOut = emptySet()
        servers.versionShares = mapOf("service" to VersionShare("v1", 0.0))
        expectThat(servers.contains(server)).isFalse()
        servers.versionShares = emptyMap()
        expectThat(servers.contains(server.copy(incarnation = 0))).isFalse()
    }
}
