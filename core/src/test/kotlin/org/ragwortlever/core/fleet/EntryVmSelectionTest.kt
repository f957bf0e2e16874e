package org.ragwortlever.core.fleet

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isIn

/** Pattern: VMs of uneven size behind callers that pick among the named ones at random. */
class EntryVmSelectionTest {
    private fun node(
        name: String,
        capacity: Double,
    ) = NodeRecord(name, 1, "10.0.0.1:80", "a", "r", capacity)

    @Test
    fun `given no VM, then none is named`() {
        expectThat(selectEntryVms("caller", emptyList(), 64)).isEmpty()
    }

    @Test
    fun `given few VMs, then all are named, however small`() {
        val nodes = listOf(node("one", 0.1), node("two", 1.5), node("three", 1.5))
        expectThat(selectEntryVms("caller", nodes, 64)).hasSize(3)
    }

    @Test
    fun `given VMs of a quarter of the largest size, then about a quarter of the callers are sent there`() {
        val nodes = (0 until 20).map { node("large-$it", 1.5) } + (0 until 20).map { node("small-$it", 0.375) }
        val answers = (0 until 500).map { selectEntryVms("10.9.0.$it", nodes, 64) }
        val perSmall = answers.sumOf { answer -> answer.count { it.name.startsWith("small") } } / 20.0
        expectThat(perSmall.toInt()).isIn(100..150)
        expectThat(answers.sumOf { answer -> answer.count { it.name.startsWith("large") } }).isEqualTo(20 * 500)
    }

    @Test
    fun `given the same VMs, when a caller asks again, then the answer is the same and within the limit`() {
        val nodes = (0 until 100).map { node("vm-$it", 1.0 + it % 3) }
        expectThat(selectEntryVms("caller", nodes.reversed(), 64)).isEqualTo(selectEntryVms("caller", nodes, 64))
        expectThat(selectEntryVms("caller", nodes, 64).size).isIn(4..64)
    }
}
