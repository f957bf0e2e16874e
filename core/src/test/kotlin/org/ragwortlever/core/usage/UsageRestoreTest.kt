package org.ragwortlever.core.usage

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty

class UsageRestoreTest {
    // Guards against a window that is sealed and reported a second time after the store has lost its seal.
    @Test
    fun `given a store that comes back from an older copy, when windows are reported, then no window is reported with two counts`() {
        expectNoViolation("restores") { RestoreSchedule(it, listOf(HolderFault.NONE), maximumRestores = 3) }
    }

    // Guards against a successor that reports again what the holder before it reported and the store has forgotten.
    @Test
    fun `given a holder that is gone when the store comes back, when another reports, then no window is reported with two counts`() {
        expectNoViolation("restores and holder faults") { RestoreSchedule(it, HolderFault.entries, maximumRestores = 3) }
    }

    // Guards against a commit that takes effect after its sender has given it up.
    @Test
    fun `given commits that take effect late, when windows are reported, then no window is reported with two counts`() {
        expectNoViolation("late commits") { RestoreSchedule(it, listOf(HolderFault.NONE), maximumRestores = 0, lateCalls = true) }
    }

    private fun expectNoViolation(
        name: String,
        schedule: (Long) -> RestoreSchedule,
    ) {
        val schedules = Integer.getInteger("schedules", 1000)
        val violations = (1L..schedules).mapNotNull { schedule(it).run() }
        println("$name: ${violations.size} of $schedules schedules with a violation, seeds 1 to $schedules")
        violations.groupingBy { it.substringAfter(": ").replace(Regex("[0-9T:Z-]{4,}"), "#") }.eachCount().forEach { println("  $it") }
        expectThat(violations.take(EXAMPLES)).isEmpty()
    }

    private companion object {
        const val EXAMPLES = 5
    }
}
