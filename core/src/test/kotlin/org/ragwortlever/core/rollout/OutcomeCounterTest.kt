package org.ragwortlever.core.rollout

import org.junit.jupiter.api.Test
import org.ragwortlever.core.store.revisionInEpoch
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds

class OutcomeCounterTest {
    private val counter = OutcomeCounter()
    private val record = RolloutRecord("service", 7, "v2", RolloutStage.CANARY, 0.05, 1000, 1000, 21_000, "vm-1")

    private fun answersAfter(next: RolloutRecord): Int? {
        counter.setOpen(listOf(record))
        counter.recordAnswer("service", "v2", "route", 5.milliseconds, null)
        counter.setOpen(listOf(next))
        return counter.evidence("service", 0)?.newAnswers
    }

    @Test
    fun `given counts, when their roll-out follows its order into a new epoch of the store, then they stay`() {
        expectThat(answersAfter(record.copy(order = revisionInEpoch(1, 3)))).isEqualTo(1)
    }

    @Test
    fun `given counts, when another roll-out begins, then they are dropped`() {
        expectThat(answersAfter(record.copy(order = 9))).isEqualTo(0)
        expectThat(answersAfter(record.copy(order = revisionInEpoch(1, 3), startedAtMilliseconds = 2000))).isEqualTo(0)
    }
}
