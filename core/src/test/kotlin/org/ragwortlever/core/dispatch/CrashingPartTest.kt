package org.ragwortlever.core.dispatch

import org.junit.jupiter.api.Test
import org.ragwortlever.core.membership.rendezvousOwner
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a part of a prompt that crashes one backend server after the other. */
class CrashingPartTest {
    private val simulation = CrashingPartSimulation()

    /** Sound requests share the account, the first part and, of four sessions, one with the culprit's requests. */
    private fun CrashingPartSimulation.sendSoundRequests() =
        repeat(SECONDS * 40) { number ->
            at(25.milliseconds * number) { submit("vm-${number % 8}", listOf("first-${number % 2}", "session-${number % 7}")) }
        }

    private fun CrashingPartSimulation.sendCulprits(
        interval: Duration = 500.milliseconds,
        isResumable: Boolean = false,
        vmOf: (Int) -> String = { "vm-${it % 8}" },
        parts: (Int) -> List<String> = { listOf("first-${it % 2}", "culprit", "session-${it % 4}") },
    ) = repeat((SECONDS.seconds / interval).toInt()) { number ->
        at(1.seconds + interval * number) { submit(vmOf(number), parts(number), isResumable) }
    }

    private fun CrashingPartSimulation.runAll() = runUntil((SECONDS + 5).seconds)

    /** Requests with the culprit that reached servers later than the platform allows without limit. */
    private fun CrashingPartSimulation.lateCulprits(): Int {
        val bound = crashes.getOrNull(4) ?: return 0
        return culpritsAtEngines.count { it > bound + CONTACT_TIME }
    }

    private fun CrashingPartSimulation.expectBound() = expectThat(lateCulprits()).isLessThanOrEqualTo(MAX_LATE_REQUESTS)

    @Test
    fun `given a part that crashes servers, when no two requests are alike, then at most three reach servers after the fifth crash`() {
        simulation.sendSoundRequests()
        simulation.sendCulprits()
        simulation.runAll()
        simulation.expectBound()
        expectThat(simulation.found).containsExactly("culprit")
    }

    @Test
    fun `given a part that crashes servers, when its requests are sparse, then no more than six servers end`() {
        simulation.sendSoundRequests()
        simulation.sendCulprits()
        simulation.runAll()
        expectThat(simulation.crashes.size).isLessThanOrEqualTo(MAX_CRASHES)
    }

    @Test
    fun `given a part that crashes servers, when sound requests share all other parts, then they are served as without it`() {
        val quiet = CrashingPartSimulation().apply { culprit = null }
        listOf(quiet, simulation).forEach { it.sendSoundRequests() }
        simulation.sendCulprits()
        listOf(quiet, simulation).forEach { it.runAll() }
        expectThat(simulation.soundQuarantined).isEqualTo(0)
        expectThat(simulation.soundBegun).isGreaterThanOrEqualTo((quiet.soundBegun * SERVED_RATIO).toInt())
    }

    @Test
    fun `given a first part that crashes servers, when its sessions differ, then it alone is quarantined`() {
        simulation.sendSoundRequests()
        simulation.sendCulprits { listOf("culprit", "session-${it % 7}") }
        simulation.runAll()
        simulation.expectBound()
        expectThat(simulation.found).containsExactly("culprit")
        expectThat(simulation.soundQuarantined).isEqualTo(0)
    }

    @Test
    fun `given a part that crashes servers, when its requests come faster than crashes are noticed, then the bound holds`() {
        simulation.sendSoundRequests()
        simulation.sendCulprits(interval = 40.milliseconds)
        simulation.runAll()
        simulation.expectBound()
        expectThat(simulation.soundQuarantined).isEqualTo(0)
    }

    @Test
    fun `given resumable requests with a part that crashes servers, when they are sent again, then the bound holds`() {
        simulation.sendSoundRequests()
        simulation.sendCulprits(isResumable = true)
        simulation.runAll()
        simulation.expectBound()
    }

    @Test
    fun `given a request that crashes servers, when it is sent again and again with the store down, then the bound holds`() {
        simulation.isStoreDown = true
        simulation.culprit = "own"
        simulation.sendSoundRequests()
        repeat(40) { number ->
            simulation.at(1.seconds + 300.milliseconds * number) {
                simulation.submit("vm-${number % 8}", listOf("first-0", "session-1"), own = "own")
            }
        }
        simulation.runAll()
        val bound = simulation.crashes[2] + CONTACT_TIME
        expectThat(simulation.culpritsAtEngines.count { it > bound }).isLessThanOrEqualTo(MAX_LATE_REQUESTS)
        expectThat(simulation.soundQuarantined).isEqualTo(0)
    }

    @Test
    fun `given the store down, when a part crashes servers, then the bound holds at all VMs`() {
        simulation.isStoreDown = true
        simulation.sendSoundRequests()
        simulation.sendCulprits()
        simulation.runAll()
        simulation.expectBound()
    }

    @Test
    fun `given a quarantined part and the store down, when a VM has just started, then it sends no request with the part`() {
        simulation.isStoreDown = true
        simulation.sendSoundRequests()
        simulation.sendCulprits(vmOf = { if (it < 16) "vm-${it % 8}" else "vm-new" })
        simulation.at(8.seconds) { simulation.startVm("vm-new") }
        simulation.runAll()
        simulation.expectBound()
    }

    @Test
    fun `given VMs that are replaced one after another, when a part crashes servers, then each decider knows the crashes before`() {
        simulation.sendSoundRequests()
        simulation.sendCulprits()
        repeat(8) { number -> simulation.at(1.seconds + 700.milliseconds * number) { simulation.stopVm("vm-$number") } }
        repeat(8) { number -> simulation.at(1.2.seconds + 700.milliseconds * number) { simulation.startVm("vm-$number") } }
        simulation.runAll()
        simulation.expectBound()
        expectThat(simulation.soundQuarantined).isEqualTo(0)
    }

    @Test
    fun `given a VM that reaches no other VM, when it alone gets the requests, then its own crashes suffice`() {
        simulation.cutOff += "vm-3"
        simulation.sendSoundRequests()
        simulation.sendCulprits(vmOf = { "vm-3" })
        simulation.runAll()
        simulation.expectBound()
    }

    // Guards against one VM's partial view that binds the fleet.
    @Test
    fun `given a part that a VM has found alone, when it reaches the others again, then they do not take it over`() {
        val alone = simulation.vmNames.first { it != rendezvousOwner("engines", simulation.vmNames) }
        simulation.cutOff += alone
        simulation.sendSoundRequests()
        simulation.sendCulprits(vmOf = { alone })
        // Its reports no longer repeat the crashes then.
        simulation.at(15.seconds) { simulation.cutOff.clear() }
        simulation.runAll()
        simulation.expectBound()
        expectThat(simulation.found).isEmpty()
    }

    // Guards against a sound part that a VM blames by its own view, because the decider knows no server for a moment.
    @Test
    fun `given a decider that knows no server for a moment, when a VM chooses by itself, then it finds no part by itself`() {
        val (unlucky, other) = simulation.vmNames.filter { it != rendezvousOwner("engines", simulation.vmNames) }
        simulation.decidersKnowNoServer = true
        repeat(3) { number ->
            simulation.at(1.seconds + 4.seconds * number) {
                simulation.submit(unlucky, listOf("sound"))
                simulation.crash(checkNotNull(simulation.engineOfLast()))
            }
            simulation.at(2.seconds + 4.seconds * number) { simulation.submit(other, listOf("sound")) }
        }
        simulation.at(14.seconds) { simulation.submit(unlucky, listOf("sound")) }
        simulation.runAll()
        expectThat(simulation.soundQuarantined).isEqualTo(0)
    }

    @Test
    fun `given a VM that was cut off when a part was found, when it is back, then it hears of the part before it sends`() {
        simulation.isStoreDown = true
        simulation.cutOff += "vm-3"
        simulation.sendSoundRequests()
        simulation.sendCulprits(vmOf = { if (it < 12) "vm-${if (it % 8 == 3) 4 else it % 8}" else "vm-3" })
        simulation.at(6.9.seconds) { simulation.cutOff.clear() }
        simulation.runAll()
        simulation.expectBound()
    }

    @Test
    fun `given a zone that is lost twice, when servers end with all that runs there, then no part is quarantined`() {
        simulation.culprit = null
        simulation.sendSoundRequests()
        listOf(3.seconds, 12.seconds).forEach { time -> simulation.at(time) { repeat(4) { simulation.crash("engine-$it") } } }
        simulation.runAll()
        expectThat(simulation.found).isEmpty()
        expectThat(simulation.soundQuarantined).isEqualTo(0)
    }

    @Test
    fun `given servers that end by themselves one after the other, when sound requests run on them, then no part is quarantined`() {
        simulation.culprit = null
        simulation.sendSoundRequests()
        repeat(24) { number -> simulation.at(2.seconds + 600.milliseconds * number) { simulation.crash("engine-${number % 12}") } }
        simulation.runAll()
        expectThat(simulation.found).isEmpty()
        expectThat(simulation.soundQuarantined).isEqualTo(0)
    }

    private companion object {
        const val SECONDS = 20

        /** `contactMs` of the platform. */
        val CONTACT_TIME = 3.seconds
        const val MAX_LATE_REQUESTS = 3
        const val MAX_CRASHES = 6
        const val SERVED_RATIO = 0.95
    }
}
