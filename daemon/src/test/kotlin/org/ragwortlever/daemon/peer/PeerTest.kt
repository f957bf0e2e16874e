package org.ragwortlever.daemon.peer

import org.junit.jupiter.api.Test
import org.ragwortlever.core.distribution.DistributionMessage
import org.ragwortlever.core.distribution.EncodedChange
import org.ragwortlever.core.membership.Incarnation
import org.ragwortlever.core.membership.Member
import org.ragwortlever.core.membership.MemberState
import org.ragwortlever.core.membership.MembershipMessage
import org.ragwortlever.daemon.Daemon
import org.ragwortlever.daemon.TrialSystem
import org.ragwortlever.daemon.TrialSystem.Companion.awaitUntil
import org.ragwortlever.standins.Fault
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

class PeerTest {
    // Guards against the loss of messages that do not fit into a datagram, and against invalid datagrams that end the receiver.
    @Test
    fun `given two sockets, when short, long and invalid messages are sent, then the valid ones arrive`() {
        PeerSockets("127.0.0.1", 0).use { receiver ->
            PeerSockets("127.0.0.1", 0).use { sender ->
                val received = LinkedBlockingQueue<PeerMessage>()
                receiver.start { received += it }
                java.net.DatagramSocket().use {
                    it.send(java.net.DatagramPacket(ByteArray(9) { -1 }, 9, java.net.InetSocketAddress("127.0.0.1", receiver.port)))
                }
                val long = PeerMessage("n1", distribution = DistributionMessage.Push(EncodedChange(7, "x".repeat(1_000_000))))
                val short = PeerMessage("n1", distribution = DistributionMessage.Ask(1, 2))
                listOf(short, long).forEach { message ->
                    sender.send("127.0.0.1", receiver.port, message)
                    expectThat(received.poll(30, TimeUnit.SECONDS)).isEqualTo(message)
                }
            }
        }
    }

    // Guards against datagrams larger than the 600 bytes of the traffic budget.
    @Test
    fun `given a ping with 5 updates, when it is encoded, then it has at most 600 bytes`() {
        val incarnation = Incarnation(1_800_000_000_000, Int.MAX_VALUE, 9)
        val member = Member("entry-vm-380", "10.100.100.100", 8080, 7070, "ne-north-a", "ne-north", incarnation, MemberState.SUSPECT, true)
        val bytes = PeerMessage("entry-vm-380", MembershipMessage.Ping(100_000, List(5) { member })).encode()
        println("a ping with 5 updates has ${bytes.size} bytes")
        expectThat(bytes.size).isLessThanOrEqualTo(600)
    }

    // Guards against callers that are still sent to an entry VM that stops, and against a member list that is lost with the platform.
    @Test
    fun `given two daemons and an unavailable platform, when one drains, then the other stops naming it and still answers`() {
        TrialSystem(daemonCount = 2).use { system ->
            val (first, second) = system.daemons
            system.platform.state.fault = Fault(unavailable = true)
            expectThat(readEntryVmNames(system, first)).isEqualTo(setOf("entry-vm-1", "entry-vm-2"))
            val draining = thread { second.drain() }
            awaitUntil("the first daemon no longer names the second") { readEntryVmNames(system, first) == setOf("entry-vm-1") }
            expectThat(readEntryVmNames(system, second)).isEqualTo(setOf("entry-vm-1"))
            draining.join()
        }
    }

    private fun readEntryVmNames(
        system: TrialSystem,
        daemon: Daemon,
    ): Set<String> =
        Regex("entry-vm-[0-9]+").findAll(system.get(system.callers(daemon) + "/v1/entry-vms")).map { it.value }.toSet()
}
