package org.ragwortlever.core.dispatch

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a part of a prompt that crashes one backend server after the other. */
class CrashingPartKnownRed {
    private val simulation = CrashingPartSimulation()

    /** Sound requests share the account, the first part and, of four sessions, one with the culprit's requests. */
    private fun CrashingPartSimulation.sendSoundRequests(seconds: Int = 20) =
        repeat(seconds * 40) { number ->
            at(25.milliseconds * number) { submit("vm-${number % 8}", listOf("first-${number % 2}", "session-${number % 7}")) }
        }

    private fun CrashingPartSimulation.sendCulprits(seconds: Int = 20) =
        repeat(seconds * 2) { number ->
            at(1.seconds + 500.milliseconds * number) {
                submit("vm-${number % 8}", listOf("first-${number % 2}", "culprit", "session-${number % 4}"))
            }
        }

    private fun CrashingPartSimulation.culpritsAfterBound(): Int {
        val bound = crashes[4] + CONTACT_TIME
        return culpritsAtEngines.count { it > bound }
    }

    @Test
    fun `given a part that crashes servers, when no two requests are alike, then at most three reach servers after the fifth crash`() {
        simulation.sendSoundRequests()
        simulation.sendCulprits()
        simulation.runUntil(22.seconds)
        expectThat(if (simulation.crashes.size < 5) 0 else simulation.culpritsAfterBound()).isLessThanOrEqualTo(MAX_LATE_REQUESTS)
    }

    @Test
    fun `given a part that crashes servers, when sound requests share all other parts, then they are served as without it`() {
        val quiet = CrashingPartSimulation().apply { culprit = null }
        listOf(quiet, simulation).forEach { it.sendSoundRequests() }
        simulation.sendCulprits()
        listOf(quiet, simulation).forEach { it.runUntil(22.seconds) }
        expectThat(simulation.soundQuarantined).isEqualTo(0)
        expectThat(simulation.soundBegun).isGreaterThanOrEqualTo((quiet.soundBegun * SERVED_RATIO).toInt())
    }

    private companion object {
        /** `contactMs` of the platform. */
        val CONTACT_TIME = 3.seconds
        const val MAX_LATE_REQUESTS = 3
        const val SERVED_RATIO = 0.95
    }
}
