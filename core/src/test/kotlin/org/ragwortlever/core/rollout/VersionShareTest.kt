package org.ragwortlever.core.rollout

import org.junit.jupiter.api.Test
import org.ragwortlever.core.store.revisionInEpoch
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import kotlin.time.Duration.Companion.seconds

class VersionShareTest {
    private val old = List(20) { VersionedServer("old-$it", "v1") }
    private val new = List(20) { VersionedServer("new-$it", "v2") }
    private val order = RolloutOrder("service", "v2", 20.seconds, revision = 7)

    private fun record(
        stage: RolloutStage,
        share: Double,
    ) = RolloutRecord("service", 7, "v2", stage, share, 0, 0, 20_000, "vm-1")

    private fun shareOf(
        record: RolloutRecord?,
        order: RolloutOrder? = this.order,
    ): VersionShare {
        val orders = listOfNotNull(order).associateBy { it.service }
        val records = listOfNotNull(record).associateBy { it.service }
        return VersionShare.of(orders, records).getValue("service")
    }

    private fun VersionShare.select(
        id: String,
        isRetry: Boolean = false,
    ) = filter(old + new, id, isRetry, old + new) { it }

    @Test
    fun `given a canary, when three hundred VMs send, then its requests stay under a tenth and go to as few servers as they need`() {
        val share = shareOf(record(RolloutStage.CANARY, RolloutPolicy.DEFAULT_CANARY_SHARE))
        val selected = (0 until 30_000).map { share.select("vm-${it % 300}-$it") }
        val canaries = selected.filter { servers -> servers.all { it.version == "v2" } }
        expectThat(canaries.size).isLessThan(30_000 / 10)
        expectThat(canaries.flatten().distinct().size).isEqualTo(1)
    }

    @Test
    fun `given a canary, when a request is sent again, then it goes to the old version`() {
        val share = shareOf(record(RolloutStage.CANARY, 1e-9 + RolloutPolicy.DEFAULT_CANARY_SHARE))
        (0 until 1000).forEach { id -> expectThat(share.select("request-$id", isRetry = true).filter { it.version == "v2" }).isEmpty() }
    }

    @Test
    fun `given an order that nobody has begun, or that was taken back, then the new version gets nothing`() {
        val canary = record(RolloutStage.CANARY, 0.5)
        listOf(shareOf(null), shareOf(canary, order = null), shareOf(canary.copy(order = 3)))
            .forEach { share ->
                expectThat(share.allows("v2")).isEqualTo(false)
                expectThat(share.select("request")).containsExactlyInAnyOrder(old)
            }
    }

    @Test
    fun `given a roll-out and a restored store, when its order comes in the new epoch, then the shares stay as they are`() {
        val restored = order.copy(revision = revisionInEpoch(1, 3))
        RolloutStage.entries.forEach { stage ->
            expectThat(shareOf(record(stage, 0.05), restored)).isEqualTo(shareOf(record(stage, 0.05)))
        }
    }

    @Test
    fun `given a roll-out, when an order differs or is written again in the same epoch, then it is a new one without a share`() {
        val restored = order.copy(revision = revisionInEpoch(1, 3))
        listOf(order.copy(revision = 9), restored.copy(version = "v3"), restored.copy(duration = 21.seconds)).forEach {
            expectThat(shareOf(record(RolloutStage.PROMOTED, 1.0), it)).isEqualTo(VersionShare(it.version, 0.0))
        }
    }

    @Test
    fun `given a version that is rolled back, when the old servers are gone, then it gets nothing`() {
        val share = shareOf(record(RolloutStage.ROLLED_BACK, 0.0))
        expectThat(share.filter(new, "request", false, new) { it }).isEmpty()
    }

    @Test
    fun `given a completed roll-out, then the old servers get nothing, and before that only when there is no new one`() {
        expectThat(shareOf(record(RolloutStage.COMPLETED, 1.0)).filter(old, "request", false, old) { it }).isEmpty()
        expectThat(shareOf(record(RolloutStage.PROMOTED, 1.0)).filter(old, "request", false, old) { it }).containsExactlyInAnyOrder(old)
        expectThat(shareOf(record(RolloutStage.PROMOTED, 1.0)).select("request")).containsExactlyInAnyOrder(new)
    }
}
